"""The command that shows traces."""

import json

import click

from laburnumford_client import errors, span, span_files, trace_tree


@click.command()
@click.argument("files", nargs=-1, required=True, metavar="FILE...", type=click.Path())
@click.option("--trace-id", metavar="ID", help="Show the traces whose id starts with ID.")
@click.option(
    "--slowest", type=click.IntRange(min=1), metavar="N", help="Show the N slowest traces."
)
@click.option("--json", "as_json", is_flag=True, help="Write one JSON document per trace.")
def trace(
    files: tuple[str, ...], trace_id: str | None, slowest: int | None, as_json: bool
) -> None:
    """Shows each trace in the span files FILE as a tree.

    Nodes write span files at the path of their setting trace.path. Give the files of all nodes
    that took part. Times are those of the clocks of the nodes, so spans of different nodes can
    be shifted against each other. Damaged lines are named on standard error and passed over.
    """
    spans_by_trace: dict[str, list[span.Span]] = {}
    for entry in span_files.read(files, lambda text: click.echo(text, err=True)):
        if trace_id is None or entry.trace_id.startswith(trace_id.lower()):
            spans_by_trace.setdefault(entry.trace_id, []).append(entry)
    if not spans_by_trace:
        wanted = "" if trace_id is None else f" of trace {trace_id!r}"
        raise errors.FileError(f"found no span{wanted} in {len(files)} files")
    trees = {key: trace_tree.TraceTree(spans=spans) for key, spans in spans_by_trace.items()}
    order = list(trees)
    if slowest is not None:
        order = sorted(trees, key=lambda key: -trees[key].duration_ns)[:slowest]
    for key in order:
        _print(key, trees[key], as_json)


def _print(key: str, tree: trace_tree.TraceTree, as_json: bool) -> None:
    if as_json:
        spans = [{"depth": depth, **entry.to_json()} for depth, entry in tree.rows()]
        click.echo(json.dumps({"trace_id": key, "duration_ns": tree.duration_ns, "spans": spans}))
        return
    click.echo(f"trace {key}  {tree.duration_ns / 1e6:.3f} ms  {tree.start()}")
    for line in tree.lines():
        click.echo(line)
