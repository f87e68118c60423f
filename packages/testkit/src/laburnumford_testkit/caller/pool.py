"""Connection pool of a test caller."""

import asyncio

from laburnumford_testkit import errors
from laburnumford_testkit.caller import connection as connection_module


class Pool:
    """Keeps idle connections by address for further requests.

    Args:
        max_idle: maximum of idle connections kept per address.
        connect_timeout_s: longest wait in seconds for a new connection.

    Attributes:
        connections_opened: number of connections opened so far.
    """

    def __init__(self, *, max_idle: int = 256, connect_timeout_s: float = 5.0) -> None:
        self.connections_opened = 0
        self._max_idle = max_idle
        self._connect_timeout_s = connect_timeout_s
        self._idle_by_address: dict[str, list[connection_module.Connection]] = {}

    def acquire_idle(self, address: str) -> connection_module.Connection | None:
        """Returns an idle connection to `address` (`ip:port`), or None if there is none."""
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.reusable:
                return connection
        return None

    async def acquire(self, address: str) -> connection_module.Connection:
        """Returns an idle or a new connection to `address` (`ip:port`).

        Raises:
            ConnectionBrokenError: the connection fails or is not established in time.
        """
        idle = self.acquire_idle(address)
        if idle is not None:
            return idle
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await asyncio.get_running_loop().create_connection(
                    connection_module.Connection, host, int(port)
                )
        except (OSError, TimeoutError) as error:
            raise errors.ConnectionBrokenError(f"not connected: {error or 'timeout'}") from error
        self.connections_opened += 1
        return connection

    def release(self, address: str, connection: connection_module.Connection) -> None:
        """Keeps a connection for reuse; closes it if it is not reusable or the limit is reached."""
        idle = self._idle_by_address.setdefault(address, [])
        if connection.reusable and len(idle) < self._max_idle:
            idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Closes the idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()
