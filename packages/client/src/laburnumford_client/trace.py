"""The ``trace`` command, which shows the traces in span files."""

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

    A node writes its span file to the path in its setting trace.path. Pass the files of all
    nodes that handled the requests. Each node uses its own clock, so clock skew can shift the
    spans of different nodes against each other. Invalid lines are reported on standard error
    and skipped.
    """
    spans_by_trace: dict[str, list[span.Span]] = {}
    for entry in span_files.read(files, lambda text: click.echo(text, err=True)):
        if trace_id is None or entry.trace_id.startswith(trace_id.lower()):
            spans_by_trace.setdefault(entry.trace_id, []).append(entry)
    if not spans_by_trace:
        condition = "" if trace_id is None else f" of trace {trace_id!r}"
        raise errors.FileError(f"found no span{condition} in {len(files)} files")
    trees = {
        tree_id: trace_tree.TraceTree(spans=spans) for tree_id, spans in spans_by_trace.items()
    }
    selected_ids = list(trees)
    if slowest is not None:
        selected_ids = sorted(trees, key=lambda tree_id: -trees[tree_id].duration_ns)[:slowest]
    for tree_id in selected_ids:
        _print_trace(tree_id, trees[tree_id], as_json)


def _print_trace(trace_id: str, tree: trace_tree.TraceTree, as_json: bool) -> None:
    if as_json:
        spans = [{"depth": depth, **entry.to_json()} for depth, entry in tree.walk()]
        click.echo(
            json.dumps({"trace_id": trace_id, "duration_ns": tree.duration_ns, "spans": spans})
        )
        return
    click.echo(f"trace {trace_id}  {tree.duration_ns / 1e6:.3f} ms  {tree.start_time()}")
    for line in tree.lines():
        click.echo(line)
