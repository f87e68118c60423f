"""Pool of outgoing connections by address."""

import asyncio
import collections
from collections.abc import Awaitable, Callable

from laburnumford_node.http import buffer_limit, client_connection, errors

ConnectCallback = Callable[[client_connection.ClientConnection], Awaitable[None]]
"""Runs on each new connection before its first request, for example to send a hello."""


class Pool:
    """Opens connections and keeps the reusable ones.

    Args:
        clock: monotonic clock in seconds.
        connect_timeout_s: limit for opening a connection, including `on_connect`.
        idle_timeout_s: time after which the other side closes an idle connection; the pool does not
            reuse a connection that has been idle for half of it.
        max_idle_per_address: idle connections kept per address.
        on_connect: runs on each new connection, or None.
        buffers: limit on the buffered bytes of the process.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        connect_timeout_s: float,
        idle_timeout_s: float,
        max_idle_per_address: int = 64,
        on_connect: ConnectCallback | None = None,
        buffers: buffer_limit.BufferLimit | None = None,
    ) -> None:
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._max_idle_per_address = max_idle_per_address
        self._on_connect = on_connect
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
        """Keeps a connection as idle, or closes it if it cannot be reused."""
        if not connection.reusable:
            connection.close()
            return
        connection.idle_since_s = self._clock()
        idle = self._idle_by_address.setdefault(address, collections.deque())
        idle.append(connection)
        if len(idle) > self._max_idle_per_address:
            idle.popleft().close()

    def sweep(self) -> None:
        """Closes idle connections that are too old or cannot be reused."""
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
        # The receiving node closes idle connections after idle_timeout_s. Reusing them for only
        # half of it prevents writing to a connection that is about to be closed.
        return self._clock() - connection.idle_since_s < self._idle_timeout_s / 2

    async def _open(self, address: str) -> client_connection.ClientConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        connection: client_connection.ClientConnection | None = None
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(self._create, host, int(port))
                if self._on_connect is not None:
                    await self._on_connect(connection)
        except (*errors.CONNECT_FAILURES, errors.HttpError) as error:
            if connection is not None:
                connection.close()
            raise errors.ConnectError(f"cannot connect to {address}: {error!r}") from error
        except BaseException:
            if connection is not None:
                connection.close()
            raise
        self.opened_count += 1
        return connection
