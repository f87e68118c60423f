"""Command `laburnumfordd`, which runs a node."""

import asyncio
import signal

import click

from laburnumford_node import logs, node
from laburnumford_objects import errors, node_settings, settings


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(exists=True, dir_okay=False),
    help="Settings file, JSON with comments.",
)
def main(path: str) -> None:
    """Runs one laburnumford node beside its backend server."""
    try:
        loaded = settings.load(path)
    except errors.LaburnumfordError as error:
        raise click.ClickException(str(error)) from error
    logs.configure(loaded.log)
    asyncio.run(_run(loaded))


async def _run(loaded: node_settings.NodeSettings) -> None:
    running = node.Node(loaded)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, running.request_drain)
    await running.run()
