"""Runs a fault proxy as a process."""

import asyncio
import json
import random

import click
import uvicorn
from starlette import applications, requests, responses, routing

from laburnumford_testkit import errors, listening
from laburnumford_testkit.faultproxy import faults as faults_module
from laburnumford_testkit.faultproxy import proxy as proxy_module


def _create_admin_app(proxy: proxy_module.FaultProxy) -> applications.Starlette:
    async def put_faults(request: requests.Request) -> responses.Response:
        try:
            proxy.set_faults(faults_module.Faults.parse(json.loads(await request.body())))
        except (errors.TestkitError, ValueError) as error:
            return responses.Response(str(error), status_code=400)
        return responses.Response(status_code=204)

    async def get_counters(_request: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {
                "connections": proxy.accepted_connections,
                "duplicates": proxy.duplicate_connections,
                "cuts": proxy.terminated_connections,
            }
        )

    return applications.Starlette(
        routes=[
            routing.Route("/admin/faults", put_faults, methods=["PUT"]),
            routing.Route("/admin/counters", get_counters, methods=["GET"]),
        ]
    )


async def _serve(target: str, host: str, port: int, admin_port: int, seed: int) -> None:
    proxy = proxy_module.FaultProxy(
        target=target, generator=random.Random(seed), host=host, port=port
    )
    bound = listening.bind(admin_port, host)
    server = uvicorn.Server(
        uvicorn.Config(
            _create_admin_app(proxy),
            loop="asyncio",
            http="httptools",
            lifespan="off",
            log_level="warning",
            access_log=False,
            timeout_graceful_shutdown=1,
        )
    )
    async with proxy:
        serving = asyncio.create_task(server.serve(sockets=[bound]))
        while not server.started and not serving.done():
            await asyncio.sleep(0.005)
        click.echo(f"admin {bound.getsockname()[1]}")
        listening.print_ready(int(proxy.address.rpartition(":")[2]))
        await serving


@click.command()
@click.option("--target", required=True, help="ip:port of the target.")
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=0, show_default=True, help="0 picks a free port.")
@click.option("--admin-port", default=0, show_default=True, help="0 picks a free port.")
@click.option("--seed", default=1, show_default=True)
def main(target: str, host: str, port: int, admin_port: int, seed: int) -> None:
    """Relays TCP connections to a target, under faults set by tests."""
    asyncio.run(_serve(target, host, port, admin_port, seed))


if __name__ == "__main__":
    main()
