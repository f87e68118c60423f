"""Operators' pages: status, explanations of server choices, metrics and health."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import uvicorn
from starlette import applications, requests, responses, routing

from laburnumford_node import metrics

_STOP_TIMEOUT_S = 5.0


class Pages:
    """Serves the operators' pages with Starlette on uvicorn.

    Args:
        address: ``ip:port`` to listen on.
        status: returns the status document.
        explain: returns one row per backend server of a service, or None if the service is
            unknown.
        counters: metrics of the node.
    """

    def __init__(
        self,
        *,
        address: str,
        status: Callable[[], dict[str, Any]],
        explain: Callable[[str], list[dict[str, Any]] | None],
        counters: metrics.Metrics,
    ) -> None:
        self._status = status
        self._explain = explain
        self._metrics = counters
        host, _, port = address.rpartition(":")
        application = applications.Starlette(
            routes=[
                routing.Route("/status", self._get_status),
                routing.Route("/explain", self._get_explanation),
                routing.Route("/metrics", self._get_metrics),
                routing.Route("/healthz", self._get_health),
            ]
        )
        # uvloop opens an io_uring instance, which the machines of the users forbid.
        config = uvicorn.Config(
            application,
            host=host,
            port=int(port),
            loop="asyncio",
            lifespan="off",
            log_level="warning",
            access_log=False,
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts listening."""
        self._task = asyncio.get_running_loop().create_task(self._server.serve())

    async def close(self) -> None:
        """Stops listening and waits for the server to end."""
        if self._task is None:
            return
        self._server.should_exit = True
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await self._task
        except TimeoutError:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _get_status(self, request: requests.Request) -> responses.Response:  # noqa: ARG002
        return responses.JSONResponse(self._status())

    async def _get_explanation(self, request: requests.Request) -> responses.Response:
        service = request.query_params.get("service", "")
        rows = self._explain(service)
        if rows is None:
            return responses.JSONResponse(
                {"title": "Unknown service", "status": 404, "detail": f"service {service!r}"},
                status_code=404,
                media_type="application/problem+json",
            )
        return responses.JSONResponse({"service": service, "servers": rows})

    async def _get_metrics(self, request: requests.Request) -> responses.Response:  # noqa: ARG002
        return responses.Response(self._metrics.page(), media_type="text/plain; version=0.0.4")

    async def _get_health(self, request: requests.Request) -> responses.Response:  # noqa: ARG002
        return responses.PlainTextResponse("ok\n")


class _Server(uvicorn.Server):
    """Installs no signal handlers, because the node handles the signals of the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Any:
        yield
