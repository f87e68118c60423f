"""Pool of idle connections to one server."""

import asyncio
import collections

from laburnumford_mesh import clock
from laburnumford_mesh.http import buffer_budget, read_limits, server_connection
from laburnumford_node.http import errors


class ServerPool:
    """Reuses idle connections to one address.

    Args:
        address: ``ip:port``.
        id_field: name of the header field that matches an answer to its request, or None.
        connect_timeout_s: timeout for opening a connection, in seconds.
        limits: limits on the bytes of one exchange.
        budget: limit on the bodies that the process holds.
    """

    def __init__(
        self,
        *,
        address: str,
        id_field: bytes | None,
        connect_timeout_s: float,
        limits: read_limits.ReadLimits,
        budget: buffer_budget.BufferBudget,
    ) -> None:
        self._address = address
        self._limits = limits
        self._budget = budget
        self._id_field = id_field
        self._connect_timeout_s = connect_timeout_s
        self._idle: collections.deque[server_connection.ServerConnection] = collections.deque()
        self.opened_count = 0

    async def acquire(
        self, max_idle_s: float, request_id: bytes | None = None
    ) -> server_connection.ServerConnection:
        """Returns a connection that was idle for at most `max_idle_s` seconds, or opens one.

        Args:
            max_idle_s: longest idle time in seconds.
            request_id: id of the request; a connection on which it was sent before is not used.

        Raises:
            ConnectionClosedError: the server reset the new connection.
            ConnectError: no connection could be opened.
        """
        now = clock.now()
        for connection in reversed(list(self._idle)):
            if not connection.reusable:
                self._idle.remove(connection)
                connection.close()
            elif not connection.is_fresh(now, max_idle_s):
                break
            elif not connection.has_sent(request_id):
                self._idle.remove(connection)
                return connection
        return await self.open()

    def release(self, connection: server_connection.ServerConnection) -> None:
        """Returns a connection to the pool, or closes it if it cannot be reused."""
        if connection.reusable:
            self._idle.append(connection)
        else:
            connection.close()

    def sweep(self) -> None:
        """Closes idle connections whose keep-alive timeout has almost expired."""
        now = clock.now()
        while self._idle:
            connection = self._idle[0]
            if connection.reusable and connection.is_fresh(now, float("inf")):
                return
            self._idle.popleft().close()

    def close(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            self._idle.popleft().close()

    async def open(self) -> server_connection.ServerConnection:
        """Returns a new connection.

        Raises:
            ConnectionClosedError: the server reset the new connection.
            ConnectError: no connection could be opened.
        """
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: server_connection.ServerConnection(
                        limits=self._limits, budget=self._budget, id_field=self._id_field
                    ),
                    host,
                    int(port),
                )
        except ConnectionResetError as error:
            raise errors.ConnectionClosedError(
                f"{self._address} reset the connection before a request was sent"
            ) from error
        except errors.CONNECT_FAILURES as error:
            raise errors.ConnectError(f"cannot connect to {self._address}: {error!r}") from error
        self.opened_count += 1
        return connection
