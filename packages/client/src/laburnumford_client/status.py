"""The ``status`` command, which shows the status of nodes."""

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
    unique_addresses = tuple(dict.fromkeys(addresses))
    readings = itertools.count() if watch and count is None else range(count or 1 if watch else 1)
    failed = False
    try:
        for number in readings:
            if number and watch:
                time.sleep(watch)
            failed = not _show_reading(unique_addresses, as_json, watch is not None, timeout_s)
    except KeyboardInterrupt:
        click.echo()
    return failed


def _show_reading(
    addresses: tuple[str, ...], as_json: bool, watching: bool, timeout_s: float
) -> bool:
    """Shows one reading and returns whether all nodes gave a valid answer."""
    reader = page_reader.PageReader(timeout_s=timeout_s)
    answers_by_address = dict(
        zip(addresses, asyncio.run(reader.read_all(addresses, "/status")), strict=True)
    )
    documents_by_address = {}
    error_messages = []
    for address, answer in answers_by_address.items():
        try:
            if isinstance(answer, errors.PageError):
                raise answer
            # Checks each document alone, so that an invalid one does not hide the other nodes.
            status_summary.summarise({address: answer})
            documents_by_address[address] = answer
        except errors.PageError as error:
            error_messages.append(str(error))
    if documents_by_address:
        _print_summary(status_summary.summarise(documents_by_address), as_json, watching)
    for error_message in error_messages:
        click.echo(error_message, err=True)
    return not error_messages


def _print_summary(summary: dict[str, object], as_json: bool, watching: bool) -> None:
    if as_json:
        click.echo(json.dumps(summary, indent=None if watching else 2))
        return
    console = terminal.create_console()
    if watching:
        console.print(time.strftime("%Y-%m-%dT%H:%M:%S%z"))
    for table in status_tables.create_tables(summary):
        console.print(table)
