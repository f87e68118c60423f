"""The ``why`` command, which explains the decisions about one request."""

import collections
import json
from typing import Any

import click

from laburnumford_client import (
    closing_sentence,
    document,
    errors,
    event_values,
    log_files,
    request_log,
    request_step,
    step_text,
    timeline,
)


@click.command()
@click.argument("request_id", metavar="REQUEST_ID")
@click.argument("files", nargs=-1, required=True, metavar="LOGS...", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Write one JSON document.")
def why(request_id: str, files: tuple[str, ...], as_json: bool) -> None:
    """Shows why the request REQUEST_ID was rejected, sent to a server or kept waiting.

    Pass the logs of all nodes as LOGS. Each line has the milliseconds from the arrival of the
    request to the start and end of a step, the node, and the figures that the decision used.
    Conditions that explain it, such as an evacuated zone, follow below. Each node uses its own
    clock, so clock skew can shift the steps of different nodes. Lines that are no events of a
    node are skipped.
    """
    found = request_log.RequestLog(request_id=request_id)
    found.add_all(log_files.read(files, lambda text: click.echo(text, err=True)))
    if not found.events:
        raise errors.FileError(f"found no event of request {request_id!r} in {len(files)} files")
    shown = timeline.Timeline(log=found)
    if as_json:
        click.echo(json.dumps(_to_json(request_id, shown)))
        return
    _print(request_id, shown)


def _print(request_id: str, shown: timeline.Timeline) -> None:
    click.echo(f"request {document.printable(request_id)}{_subject(shown)}")
    for step in shown.steps:
        times = step.to_json(shown.from_s)
        click.echo(
            f"  {times['start_ms']:+9.1f} {times['end_ms']:+9.1f} ms  {times['node']}  "
            + step_text.describe(step)
        )
        for event, text in step.causes:
            click.echo(f"{_INDENT}{_describe_cause(step, event, text)}")
    for node, lines in _left_out_by_node(shown).items():
        click.echo(f"note: {document.printable(node)} left out {lines} lines at that time")
    click.echo(closing_sentence.write(shown))


_INDENT = " " * 27


def _left_out_by_node(shown: timeline.Timeline) -> dict[str, int]:
    """Returns the number of lines that nodes left out of their logs, by node."""
    counted: collections.Counter[str] = collections.Counter()
    for gap in shown.gaps:
        counted[gap.node] += gap.lines
    return dict(counted)


def _subject(shown: timeline.Timeline) -> str:
    if shown.final is None:
        return ""
    return "".join(
        f", {name} {event_values.text(shown.final.event, name)}"
        for name in ("route", "service")
        if shown.final.event.get(name) is not None
    )


def _describe_cause(step: request_step.Step, event: dict[str, Any], text: str) -> str:
    age_s = float(step.event["time"]) - float(event["time"])
    node = event_values.text(event, "node")
    figures = event_values.format_figures(event)
    return f"{text}: {event['event']} on {node}, {age_s:.3f} s before; {figures}"


def _to_json(request_id: str, shown: timeline.Timeline) -> dict[str, Any]:
    final = shown.final
    event: dict[str, Any] = {} if final is None else final.event
    return {
        "request_id": request_id,
        "outcome": "unfinished" if final is None else final.name,
        "status": event.get("status", _STATUS_BY_EVENT.get(str(event.get("event")))),
        "reason": None if final is None else final.reason or None,
        "route": event.get("route"),
        "service": event.get("service"),
        "version": event.get("version"),
        "start": round(shown.from_s, 4),
        "duration_ms": round((shown.until_s - shown.from_s) * 1000, 1),
        "steps": [step.to_json(shown.from_s) for step in shown.steps],
        "left_out_lines": _left_out_by_node(shown),
        "sentence": closing_sentence.write(shown),
    }


_STATUS_BY_EVENT = {"refused": 503, "no_route": 404}
"""Status of the final answers whose line does not state it."""
