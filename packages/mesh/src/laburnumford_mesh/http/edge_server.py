"""Listener for the connections of callers."""

import asyncio
import socket
from collections.abc import Callable

from laburnumford_mesh import clock, event_log, supervision
from laburnumford_mesh import limits as limits_module
from laburnumford_mesh.http import (
    acceptor,
    buffer_budget,
    caller_memory,
    edge_connection,
    refusal_log,
)

_MAX_PENDING_CONNECTIONS = 1024
"""Backlog of the listening socket; all callers of a VM reconnect at the same time after an
outage."""

_SWEEP_INTERVAL_S = 0.5
"""Header timeouts are configured in whole seconds."""

_DISCONNECT_INTERVAL_S = 0.2
"""Work for a caller that has left is cancelled within 0.5 s."""

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
        max_descriptors: number of open descriptors of the process above which accepting pauses;
            None for no limit.
        budget: limit on the bytes that are held for callers; other listeners may share it.
        log: structured log.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: edge_connection.Handler,
        limits: Callable[[], limits_module.Limits],
        max_connections: int,
        max_descriptors: int | None = None,
        budget: buffer_budget.BufferBudget,
        log: event_log.EventLog,
    ) -> None:
        self._address = address
        self._handler = handler
        self._limits = limits
        self._max_connections = max_connections
        self._connections: set[edge_connection.EdgeConnection] = set()
        self._memory = caller_memory.CallerMemory(
            budget=budget, readers=self._connections, address=address, log=log
        )
        self._max_descriptors = max_descriptors
        self._refusals = refusal_log.RefusalLog(address=address, log=log)
        self._acceptor: acceptor.Acceptor | None = None
        self._sweepers: list[asyncio.Task[None]] = []

    @property
    def in_flight_count(self) -> int:
        """Number of requests of all connections whose answer is not sent yet."""
        return sum(connection.in_flight_count for connection in self._connections)

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def refused_count(self) -> int:
        """Number of connections that were closed on accept."""
        return self._refusals.count

    @property
    def closed_reader_count(self) -> int:
        """Number of connections that were closed because their callers did not read."""
        return self._memory.closed_reader_count

    @property
    def dropped_answer_count(self) -> int:
        """Number of answers that were dropped because memory was short."""
        return self._memory.dropped_answer_count

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        if self._acceptor is None:
            raise RuntimeError(f"the server on {self._address} is not started")
        return self._acceptor.port

    async def start(self) -> None:
        """Starts to accept connections."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        listening = socket.create_server((host, int(port)), backlog=_MAX_PENDING_CONNECTIONS)
        listening.setblocking(False)
        self._acceptor = acceptor.Acceptor(
            listening=listening,
            make_protocol=self._make_connection,
            on_refused=lambda: self._refusals.observe(len(self._connections)),
            max_descriptors=self._max_descriptors,
        )
        self._acceptor.start()
        self._sweepers = [
            loop.create_task(supervision.keep_running(run, name=f"{name} of {self._address}"))
            for name, run in (
                ("sweep", self._sweep),
                ("check for disconnected callers", self._close_disconnected),
            )
        ]

    def begin_drain(self) -> None:
        """Makes each connection close as soon as its received requests are answered."""
        for connection in self._connections:
            connection.begin_drain()

    def is_idle(self) -> bool:
        """Returns whether no request is in flight, partly received or unread in a socket.

        A request whose answer is not completely passed to the system is in flight.
        """
        waiting = self._acceptor is not None and self._acceptor.has_waiting()
        return not waiting and all(
            connection.idle and not connection.has_unread_bytes()
            for connection in self._connections
        )

    def close_connections(self) -> None:
        """Stops listening and closes all connections; nothing is read after the call."""
        if self._acceptor is not None:
            self._acceptor.close()
        for connection in list(self._connections):
            connection.close()

    async def close(self) -> None:
        """Closes all connections and waits for the tasks of the listener."""
        self.close_connections()
        for sweeper in self._sweepers:
            sweeper.cancel()
        await asyncio.gather(*self._sweepers, return_exceptions=True)
        if self._acceptor is not None:
            await self._acceptor.wait_closed()
        # Connections whose transport was being created.
        self.close_connections()

    def _make_connection(self) -> edge_connection.EdgeConnection | None:
        if len(self._connections) >= self._max_connections:
            return None
        connection = edge_connection.EdgeConnection(
            handler=self._handler,
            limits=self._limits,
            on_closed=self._connections.discard,
            memory=self._memory,
        )
        self._connections.add(connection)
        return connection

    async def _close_disconnected(self) -> None:
        while True:
            await asyncio.sleep(_DISCONNECT_INTERVAL_S)
            for connection in list(self._connections):
                connection.close_if_disconnected()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            now = clock.now()
            limits = self._limits()
            for connection in list(self._connections):
                connection.observe_progress(now)
                if connection.reading_paused:
                    continue
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
            self._memory.close_expired(now)
