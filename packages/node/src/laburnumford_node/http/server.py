"""Listening socket and the connections accepted on it."""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable

from laburnumford_node.http import buffer_limit, server_connection

_LOG = logging.getLogger("laburnumford.http")
_SWEEP_INTERVAL_S = 1.0
_LISTEN_BACKLOG = 512
_DRAIN_POLL_INTERVAL_S = 0.05
_DRAIN_MIN_IDLE_S = 1.0
_DRAIN_MAX_IDLE_WAIT_S = 3.0
"""Time after the start of a drain from which connections without a request are closed even if bytes
arrived on them a moment ago."""


class Server:
    """Listens on one address, accepts connections and closes them.

    Args:
        address: ``ip:port`` to listen on; port 0 takes a free one.
        handler: called for each request.
        on_bad_message: called for a request that could not be parsed.
        max_connections: connections above this number are closed at once.
        max_header_bytes: largest header section in bytes.
        header_timeout_s: connections whose header section takes longer to arrive are reset.
        idle_timeout_s: connections without a request are closed after this time.
        clock: monotonic clock in seconds.
        buffers: limit on the buffered bytes of the process.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: server_connection.Handler,
        on_bad_message: server_connection.BadMessageResponder,
        max_connections: int,
        max_header_bytes: int,
        header_timeout_s: float,
        idle_timeout_s: float,
        clock: Callable[[], float],
        buffers: buffer_limit.BufferLimit | None = None,
    ) -> None:
        self._address = address
        self._handler = handler
        self._on_bad_message = on_bad_message
        self._max_connections = max_connections
        self._max_header_bytes = max_header_bytes
        self._header_timeout_s = header_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._clock = clock
        self._buffers = buffers if buffers is not None else buffer_limit.BufferLimit()
        self._connections: set[server_connection.ServerConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self.refused_connections = 0

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        if self._socket is None:
            raise RuntimeError("the server is not started")
        return int(self._socket.getsockname()[1])

    async def start(self) -> None:
        """Starts listening."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._socket = socket.create_server((host, int(port)), backlog=_LISTEN_BACKLOG)
        self._socket.setblocking(False)
        self._server = await loop.create_server(
            self._accept, sock=self._socket, backlog=_LISTEN_BACKLOG
        )
        self._sweeper = loop.create_task(self._sweep())

    async def drain(self, grace_s: float) -> int:
        """Stops listening and waits until the connections have ended.

        Each connection closes after the answer in progress.

        Args:
            grace_s: connections that are open after this time are reset.

        Returns:
            The number of connections that were reset during a request.
        """
        await self._stop_listening()
        started_s = self._clock()
        while self._connections and self._clock() < started_s + grace_s:
            waits_for_idle = self._clock() < started_s + _DRAIN_MAX_IDLE_WAIT_S
            for connection in list(self._connections):
                connection.drain_connection(_DRAIN_MIN_IDLE_S if waits_for_idle else 0.0)
            if self._tasks:
                await asyncio.wait(
                    self._tasks,
                    timeout=_DRAIN_POLL_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
        return await self.close()

    async def close(self) -> int:
        """Stops listening and resets the open connections.

        Returns:
            The number of connections that were reset during a request.
        """
        await self._stop_listening()
        if self._sweeper is not None:
            self._sweeper.cancel()
            await asyncio.gather(self._sweeper, return_exceptions=True)
        busy_connections = [c for c in self._connections if not c.idle]
        for connection in list(self._connections):
            connection.abort()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return len(busy_connections)

    async def _stop_listening(self) -> None:
        """Accepts the connections in the listen backlog and closes the listening socket.

        The kernel resets the connections that are not accepted when the socket closes.
        """
        if self._server is None or self._socket is None:
            return
        loop = asyncio.get_running_loop()
        with contextlib.suppress(BlockingIOError):
            for _ in range(_LISTEN_BACKLOG):
                accepted, _ = self._socket.accept()
                accepted.setblocking(False)
                await loop.connect_accepted_socket(self._accept, accepted)
        self._server.close()
        self._server = None

    def _accept(self) -> asyncio.BaseProtocol:
        if len(self._connections) >= self._max_connections:
            self.refused_connections += 1
            return _RefusedConnection()
        connection = _TrackedConnection(
            handler=self._handler,
            on_bad_message=self._on_bad_message,
            max_header_bytes=self._max_header_bytes,
            clock=self._clock,
            on_closed=self._connections.discard,
            buffers=self._buffers,
        )
        connection.server = self
        self._connections.add(connection)
        return connection

    def track_task(self, task: asyncio.Task[None]) -> None:
        """Keeps a reference to the task of a connection until it ends."""
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("http: handler failed", exc_info=task.exception())

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            now = self._clock()
            for connection in list(self._connections):
                started_s = connection.header_started_s
                if started_s is not None and now - started_s > self._header_timeout_s:
                    connection.abort()
                elif connection.idle and now - connection.last_activity_s > self._idle_timeout_s:
                    connection.close()


class _TrackedConnection(server_connection.ServerConnection):
    server: Server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self.task is not None:
            self.server.track_task(self.task)


class _RefusedConnection(asyncio.Protocol):
    """Closes a connection above the limit at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.close()
