"""Listener for the connections of callers."""

import asyncio
import socket
from collections.abc import Callable

from laburnumford_mesh import clock, supervision
from laburnumford_mesh import limits as limits_module
from laburnumford_mesh.http import buffer_budget, edge_connection

_MAX_PENDING_CONNECTIONS = 1024
"""Backlog of the listening socket; all callers of a VM reconnect at the same time after an
outage."""

_SWEEP_INTERVAL_S = 0.5
"""Header timeouts are configured in whole seconds."""

_IDLE_SLACK_S = 0.5
"""Callers may reuse a connection until the published idle timeout. Closing it later avoids a
race between the close and such a request."""


class EdgeServer:
    """Accepts connections on one address, and closes idle and slow ones.

    Args:
        address: ``ip:port``.
        handler: answers a request.
        limits: returns the current limits.
        max_connections: largest number of open connections; more are closed on accept.
        budget: limit on the bodies that the process holds.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: edge_connection.Handler,
        limits: Callable[[], limits_module.Limits],
        max_connections: int,
        budget: buffer_budget.BufferBudget,
    ) -> None:
        self._address = address
        self._handler = handler
        self._limits = limits
        self._max_connections = max_connections
        self._budget = budget
        self._connections: set[edge_connection.EdgeConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self.refused_connections = 0

    @property
    def in_flight_count(self) -> int:
        """Number of requests of all connections whose answer is not sent yet."""
        return sum(connection.in_flight_count for connection in self._connections)

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        if self._server is None:
            raise RuntimeError(f"the server on {self._address} is not started")
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Starts to accept connections."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        listening = socket.create_server((host, int(port)), backlog=_MAX_PENDING_CONNECTIONS)
        listening.setblocking(False)
        self._server = await loop.create_server(
            self._accept, sock=listening, backlog=_MAX_PENDING_CONNECTIONS
        )
        self._sweeper = loop.create_task(
            supervision.keep_running(self._sweep, name=f"sweep of {self._address}")
        )

    def begin_drain(self) -> None:
        """Makes each connection close as soon as its received requests are answered."""
        for connection in self._connections:
            connection.begin_drain()

    def is_idle(self) -> bool:
        """Returns whether no request is in flight, partly received or unread in a socket."""
        return all(
            connection.idle and not connection.has_unread_bytes()
            for connection in self._connections
        )

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
            await asyncio.gather(self._sweeper, return_exceptions=True)
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    def _accept(self) -> asyncio.BaseProtocol:
        connection = edge_connection.EdgeConnection(
            handler=self._handler,
            limits=self._limits,
            on_closed=self._connections.discard,
            budget=self._budget,
        )
        if len(self._connections) >= self._max_connections:
            self.refused_connections += 1
            asyncio.get_running_loop().call_soon(connection.close)
            return connection
        self._connections.add(connection)
        return connection

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            now = clock.now()
            limits = self._limits()
            for connection in list(self._connections):
                started_s = connection.header_started_s
                if started_s is not None and now - started_s > limits.header_timeout_s:
                    connection.reject_slow_header()
                elif connection.is_body_too_slow(now):
                    connection.reject_slow_body()
                elif (
                    connection.idle
                    and now - connection.last_activity_s > limits.idle_timeout_s + _IDLE_SLACK_S
                ):
                    connection.close()
