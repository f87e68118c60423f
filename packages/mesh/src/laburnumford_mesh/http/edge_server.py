"""The listener for callers."""

import asyncio
import socket
from collections.abc import Callable

from laburnumford_mesh import clock
from laburnumford_mesh import limits as limits_module
from laburnumford_mesh.http import edge_connection

_BACKLOG = 1024
"""Connections; callers of a VM that was away come back in the same moment."""

_SWEEP_INTERVAL_S = 0.5
"""Seconds; header time-outs are whole seconds."""

_IDLE_SLACK_S = 0.5
"""Callers may reuse a connection up to the published idle time; closing a little later
keeps the close from crossing such a request."""


class EdgeServer:
    """Listens on one address and owns the connections of callers.

    Args:
        address: ``ip:port``.
        handler: answers a request.
        limits: returns the bounds in force.
        max_connections: connections above this number are closed at once.
        max_buffer_bytes: bound on the bytes of all buffered request bodies.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: edge_connection.Handler,
        limits: Callable[[], limits_module.Limits],
        max_connections: int,
        max_buffer_bytes: int,
    ) -> None:
        self._address = address
        self._handler = handler
        self._limits = limits
        self._max_connections = max_connections
        self._max_buffer_bytes = max_buffer_bytes
        self._buffered_bytes = 0
        self._connections: set[edge_connection.EdgeConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self.refused_connections = 0

    @property
    def in_work(self) -> int:
        """Requests without an answer."""
        return sum(connection.in_work for connection in self._connections)

    @property
    def connection_count(self) -> int:
        """Open connections."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        if self._server is None:
            raise RuntimeError("the server is not started")
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Starts to listen."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        listening = socket.create_server((host, int(port)), backlog=_BACKLOG)
        listening.setblocking(False)
        self._server = await loop.create_server(self._accept, sock=listening, backlog=_BACKLOG)
        self._sweeper = loop.create_task(self._sweep())

    def begin_drain(self) -> None:
        """Closes each connection behind its next answer from now on."""
        for connection in self._connections:
            connection.begin_drain()

    def quiet(self) -> bool:
        """Returns whether no request is in work, being received, or waiting in a socket."""
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
            reserve=self._reserve,
        )
        if len(self._connections) >= self._max_connections:
            self.refused_connections += 1
            asyncio.get_running_loop().call_soon(connection.close)
            return connection
        self._connections.add(connection)
        return connection

    def _reserve(self, size: int) -> bool:
        if size > 0 and self._buffered_bytes + size > self._max_buffer_bytes:
            return False
        self._buffered_bytes += size
        return True

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            now = clock.now()
            limits = self._limits()
            for connection in list(self._connections):
                started_s = connection.header_started_s
                if started_s is not None and now - started_s > limits.header_timeout_s:
                    connection.fail_timeout()
                elif (
                    connection.idle
                    and now - connection.last_activity_s > limits.idle_timeout_s + _IDLE_SLACK_S
                ):
                    connection.close()
