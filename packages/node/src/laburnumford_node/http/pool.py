"""Idle outgoing connections by address."""

import asyncio
import collections
from collections.abc import Awaitable, Callable

from laburnumford_node.http import buffer_limit, client_connection, errors

Greeting = Callable[[client_connection.ClientConnection], Awaitable[None]]
"""Runs on each new connection before its first request."""


class Pool:
    """Opens connections and keeps the reusable ones.

    Args:
        clock: monotonic clock in seconds.
        connect_timeout_s: limit for opening a connection, greeting included.
        idle_timeout_s: idle connections older than this are closed.
        max_idle: idle connections kept per address.
        greeting: runs on each new connection, or None.
        buffers: bound on the buffered bytes.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        connect_timeout_s: float,
        idle_timeout_s: float,
        max_idle: int = 64,
        greeting: Greeting | None = None,
        buffers: buffer_limit.BufferLimit | None = None,
    ) -> None:
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._max_idle = max_idle
        self._greeting = greeting
        self._buffers = buffers if buffers is not None else buffer_limit.BufferLimit()
        self._idle_by_address: dict[
            str, collections.deque[client_connection.ClientConnection]
        ] = {}
        self.opened_count = 0

    async def acquire(self, address: str) -> client_connection.ClientConnection:
        """Returns an idle connection to `address`, or opens one.

        Args:
            address: ``ip:port``.

        Raises:
            ConnectError: no connection could be opened.
        """
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            if connection.reusable and self._is_fresh(connection):
                return connection
            connection.close()
        return await self._open(address)

    def release(self, address: str, connection: client_connection.ClientConnection) -> None:
        """Takes a connection back, or closes it if it cannot be reused."""
        if not connection.reusable:
            connection.close()
            return
        connection.idle_since_s = self._clock()
        idle = self._idle_by_address.setdefault(address, collections.deque())
        idle.append(connection)
        if len(idle) > self._max_idle:
            idle.popleft().close()

    def sweep(self) -> None:
        """Closes idle connections past their time."""
        for address in list(self._idle_by_address):
            idle = self._idle_by_address[address]
            while idle and not (idle[0].reusable and self._is_fresh(idle[0])):
                idle.popleft().close()
            if not idle:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()

    def _create(self) -> client_connection.ClientConnection:
        return client_connection.ClientConnection(buffers=self._buffers)

    def _is_fresh(self, connection: client_connection.ClientConnection) -> bool:
        # The receiving node closes idle connections after idle_timeout_s. Half of it
        # keeps this side from writing to a connection that is about to be closed.
        return self._clock() - connection.idle_since_s < self._idle_timeout_s / 2

    async def _open(self, address: str) -> client_connection.ClientConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        connection: client_connection.ClientConnection | None = None
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(self._create, host, int(port))
                if self._greeting is not None:
                    await self._greeting(connection)
        except (OSError, TimeoutError, errors.HttpError) as error:
            if connection is not None:
                connection.close()
            raise errors.ConnectError(f"cannot connect to {address}: {error!r}") from error
        except BaseException:
            if connection is not None:
                connection.close()
            raise
        self.opened_count += 1
        return connection
