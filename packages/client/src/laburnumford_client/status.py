"""The command that shows the status of nodes."""

import asyncio
import itertools
import json
import time

import click

from laburnumford_client import errors, page_reader, status_summary, status_tables, terminal


@click.command()
@click.argument(
    "addresses",
    nargs=-1,
    required=True,
    metavar="NODE_ADDRESS...",
    callback=page_reader.check_address,
)
@click.option("--json", "as_json", is_flag=True, help="Write one JSON document per reading.")
@click.option(
    "--watch",
    type=click.FloatRange(min=0.2),
    metavar="SECONDS",
    help="Read again after this time, until interrupted.",
)
@click.option(
    "--count", type=click.IntRange(min=1), help="With --watch: end after this many readings."
)
@click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(min=0.1, max=600),
    default=5.0,
    show_default=True,
    help="Wait for the answer of a node, in seconds.",
)
def status(
    addresses: tuple[str, ...],
    as_json: bool,
    watch: float | None,
    count: int | None,
    timeout_s: float,
) -> bool:
    """Shows what the nodes at NODE_ADDRESS report.

    NODE_ADDRESS is the operator_address of a node. Any node reports the state of the fleet as
    far as it knows it. Calls and latencies of several nodes are merged by service. The exit
    status is 1 if a node of the last reading could not be read.
    """
    unique = tuple(dict.fromkeys(addresses))
    readings = itertools.count() if watch and count is None else range(count or 1 if watch else 1)
    failed = False
    try:
        for number in readings:
            if number and watch:
                time.sleep(watch)
            failed = not _show(unique, as_json, watch is not None, timeout_s)
    except KeyboardInterrupt:
        click.echo()
    return failed


def _show(addresses: tuple[str, ...], as_json: bool, watching: bool, timeout_s: float) -> bool:
    """Shows one reading and returns whether all nodes gave a valid answer."""
    reader = page_reader.PageReader(timeout_s=timeout_s)
    found = dict(zip(addresses, asyncio.run(reader.read_all(addresses, "/status")), strict=True))
    valid = {}
    complaints = []
    for address, answer in found.items():
        try:
            if isinstance(answer, errors.PageError):
                raise answer
            # One invalid document must not hide the figures of the other nodes.
            status_summary.summarise({address: answer})
            valid[address] = answer
        except errors.PageError as error:
            complaints.append(str(error))
    if valid:
        _print(status_summary.summarise(valid), as_json, watching)
    for complaint in complaints:
        click.echo(complaint, err=True)
    return not complaints


def _print(summary: dict[str, object], as_json: bool, watching: bool) -> None:
    if as_json:
        click.echo(json.dumps(summary, indent=None if watching else 2))
        return
    console = terminal.make()
    if watching:
        console.print(time.strftime("%Y-%m-%dT%H:%M:%S%z"))
    for table in status_tables.tables(summary):
        console.print(table)
