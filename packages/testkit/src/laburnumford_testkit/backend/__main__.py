"""Runs a fake backend server as a process."""

import asyncio
import pathlib
import random
import signal
from typing import Any

import click

from laburnumford_testkit import listening
from laburnumford_testkit.backend import connection, server, service_time


async def _serve(
    host: str, port: int, linger_s: float, grace_s: float, parameters: dict[str, Any]
) -> None:
    state = server.Server(**parameters)
    loop = asyncio.get_running_loop()
    bound = listening.bind(port, host)
    listener = await loop.create_server(
        lambda: connection.Connection(server=state), sock=bound, backlog=512
    )
    loop.add_signal_handler(signal.SIGTERM, state.stop)
    loop.add_signal_handler(signal.SIGINT, state.stop)
    listening.print_ready(bound.getsockname()[1])
    while not state.stopping:
        await asyncio.sleep(0.02)
    await asyncio.sleep(linger_s)
    deadline = loop.time() + grace_s
    while not state.idle and loop.time() < deadline:
        await asyncio.sleep(0.01)
    listener.close()
    state.log.close()


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0 picks a free port.")
@click.option("--name", default="backend", show_default=True, help="Value of x-server.")
@click.option("--slots", default=12, show_default=True)
@click.option(
    "--queue",
    default=24,
    show_default=True,
    help="Requests that may wait for a slot; further ones are shed.",
)
@click.option("--connections", default=250, show_default=True)
@click.option(
    "--service-ms",
    default=0.0,
    show_default=True,
    help="Base of the service times; its meaning depends on the distribution.",
)
@click.option(
    "--distribution",
    type=click.Choice(service_time.service_times.names()),
    default="constant",
    show_default=True,
)
@click.option("--answer-bytes", default=200, show_default=True)
@click.option("--cold-start-s", default=0.0, show_default=True)
@click.option("--cold-factor", default=5.0, show_default=True)
@click.option(
    "--load-lag-s",
    default=0.0,
    show_default=True,
    help="Minimum age of the values that /load reports.",
)
@click.option(
    "--linger-s",
    default=0.0,
    show_default=True,
    help="Time after SIGTERM in which answers report that the server drains, even if it is idle.",
)
@click.option(
    "--grace-s",
    default=30.0,
    show_default=True,
    help="Longest wait for running requests after --linger-s.",
)
@click.option("--run-log", type=click.Path(path_type=pathlib.Path), default=None)
@click.option(
    "--edge-address", default=None, help="Edge listener of the adjacent node, for nested calls."
)
@click.option("--seed", default=1, show_default=True)
def main(
    *,
    host: str,
    port: int,
    service_ms: float,
    linger_s: float,
    grace_s: float,
    run_log: pathlib.Path | None,
    seed: int,
    **parameters: Any,
) -> None:
    """Serves answers whose bytes are derived from the call id, under faults set by tests."""
    parameters["base_service_time_s"] = service_ms / 1000
    parameters["run_log_path"] = run_log
    parameters["generator"] = random.Random(seed)
    asyncio.run(_serve(host, port, linger_s, grace_s, parameters))


if __name__ == "__main__":
    main()
