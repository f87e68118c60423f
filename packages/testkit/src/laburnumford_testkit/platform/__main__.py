"""Runs the fake platform as a process."""

import asyncio

import click
import uvicorn

from laburnumford_testkit import listening
from laburnumford_testkit.platform import app as app_module


async def _serve(host: str, port: int, reads_per_s: int, answer_ms: float) -> None:
    bound = listening.bind(port, host)
    platform = app_module.PlatformApp(reads_per_s=reads_per_s, answer_s=answer_ms / 1000)
    server = uvicorn.Server(
        uvicorn.Config(
            platform.asgi,
            loop="asyncio",
            http="httptools",
            lifespan="off",
            log_level="warning",
            access_log=False,
            timeout_graceful_shutdown=1,
        )
    )
    serving = asyncio.create_task(server.serve(sockets=[bound]))
    while not server.started and not serving.done():
        await asyncio.sleep(0.005)
    listening.print_ready(bound.getsockname()[1])
    await serving


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0 picks a free port.")
@click.option(
    "--reads-per-s", default=2000, show_default=True, help="Read limit for all readers together."
)
@click.option("--answer-ms", default=0.0, show_default=True, help="Delay of each answer.")
def main(host: str, port: int, reads_per_s: int, answer_ms: float) -> None:
    """Serves the configuration service and the VM list for tests."""
    asyncio.run(_serve(host, port, reads_per_s, answer_ms))


if __name__ == "__main__":
    main()
