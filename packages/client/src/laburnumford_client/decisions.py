"""The ``decisions`` command, which shows where requests went and why they were refused."""

import json
import time

import click
from rich import table

from laburnumford_client import decision_table, errors, log_files, terminal

_MIN_INTERVAL_S = 0.01


@click.command()
@click.argument("files", nargs=-1, required=True, metavar="FILE...", type=click.Path())
@click.option("--from", "from_s", type=float, metavar="T", help="Start in Unix seconds.")
@click.option("--until", "until_s", type=float, metavar="T", help="End in Unix seconds.")
@click.option(
    "--interval",
    "interval_s",
    type=click.FloatRange(min=_MIN_INTERVAL_S),
    default=1.0,
    show_default=True,
    metavar="SECONDS",
    help="Length of a row.",
)
@click.option("--service", metavar="NAME", help="Count only requests to this service.")
@click.option("--json", "as_json", is_flag=True, help="Write one JSON document per interval.")
def decisions(
    files: tuple[str, ...],
    from_s: float | None,
    until_s: float | None,
    interval_s: float,
    service: str | None,
    as_json: bool,
) -> None:
    """Shows for each interval what nodes decided about requests, from their log files FILE.

    Pass the logs of all nodes. Columns of two values are the median and the 90th percentile.
    Running and waiting are those of the chosen servers; wait is the time that an attempt took
    beyond the work of the server. Lines that are no events of a node are skipped.
    """
    counted = decision_table.DecisionTable(interval_s=interval_s, service=service)
    for event in log_files.read(files, lambda text: click.echo(text, err=True)):
        if (from_s is None or event["time"] >= from_s) and (
            until_s is None or event["time"] < until_s
        ):
            counted.add(event)
    if not counted.by_start:
        raise errors.FileError(f"found no decision about a request in {len(files)} files")
    if as_json:
        for start, interval in sorted(counted.by_start.items()):
            click.echo(json.dumps({"start": start, **interval.to_json()}))
        return
    _print_table(counted)


def _print_table(counted: decision_table.DecisionTable) -> None:
    shown = table.Table()
    for name in (
        "from",
        "final answers",
        "attempts",
        "running",
        "waiting",
        "slowness",
        "wait ms",
        "work ms",
    ):
        shown.add_column(name)
    for start, interval in sorted(counted.by_start.items()):
        shown.add_row(
            time.strftime("%H:%M:%S", time.gmtime(start)) + f"{start % 1:.2f}"[1:],
            _counts(interval.finals),
            _counts(interval.attempts),
            *(
                _pair(each)
                for each in (
                    interval.running,
                    interval.waiting,
                    interval.slowness,
                    interval.wait_ms,
                    interval.work_ms,
                )
            ),
        )
    terminal.create_console().print(shown)


def _counts(counter: dict[str, int]) -> str:
    ordered = sorted(counter.items(), key=lambda item: -item[1])
    return ", ".join(f"{name} {count}" for name, count in ordered)


def _pair(values: list[float]) -> str:
    found = decision_table.quantiles(values)
    return "" if found is None else f"{found[0]:.3g} / {found[1]:.3g}"
