"""Nested calls of a fake backend server through the adjacent node."""

import asyncio

from laburnumford_testkit import errors
from laburnumford_testkit.backend import request as request_module
from laburnumford_testkit.caller import connection as connection_module
from laburnumford_testkit.caller import exchange, pool

MAX_NESTED_LEVELS = 32
_FORWARDED_HEADERS = ("laburnumford-attempts", "laburnumford-depth", "laburnumford-timeout-ms")
_DEFAULT_TIMEOUT_MS = 1000.0


class NestedCaller:
    """Makes the nested call that a request asks for in its header `x-nested-path`.

    The header has the number of remaining levels, the path of these levels and, optionally,
    another path for the last level, such as `17 /chain /end`.

    Args:
        edge_address: `ip:port` of the edge listener of the adjacent node.
    """

    def __init__(self, *, edge_address: str) -> None:
        self._edge_address = edge_address
        self._pool = pool.Pool()

    async def call(self, request: request_module.Request) -> int:
        """Returns the status of the nested call; 502 if its connection failed, 504 on a timeout."""
        remaining, path, last_path = parse_nested_path(request.headers["x-nested-path"])
        lines = [
            f"GET {path if remaining > 1 else last_path} HTTP/1.1",
            f"host: {self._edge_address}",
            f"x-call-id: {request.headers.get('x-call-id', '')}/{remaining}",
        ]
        lines += [
            f"{name}: {request.headers[name]}"
            for name in _FORWARDED_HEADERS
            if name in request.headers
        ]
        if "x-work-ms" in request.headers:
            lines.append(f"x-work-ms: {request.headers['x-work-ms']}")
        if remaining > 1:
            lines.append(f"x-nested-path: {remaining - 1} {path} {last_path}")
        nested_exchange = exchange.Exchange(method="GET")
        connection: connection_module.Connection | None = None
        complete = False
        timeout_s = request.numeric_header("laburnumford-timeout-ms", _DEFAULT_TIMEOUT_MS) / 1000
        try:
            async with asyncio.timeout(timeout_s):
                connection = self._pool.acquire_idle(
                    self._edge_address
                ) or await self._pool.acquire(self._edge_address)
                connection.begin(
                    nested_exchange, ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
                )
                await nested_exchange.ended
                complete = True
        except TimeoutError:
            return 504
        except errors.ConnectionBrokenError:
            return 502
        finally:
            if connection is not None and complete:
                self._pool.release(self._edge_address, connection)
            elif connection is not None:
                connection.close()
        return nested_exchange.status


def parse_nested_path(text: str) -> tuple[int, str, str]:
    """Returns the remaining levels, the path, and the path of the last level.

    Raises:
        TestkitError: the value of the header is malformed.
    """
    parts = text.split()
    if (
        len(parts) not in (2, 3)
        or not parts[0].isdecimal()
        or not 1 <= int(parts[0]) <= MAX_NESTED_LEVELS
    ):
        raise errors.TestkitError(
            f"header x-nested-path is {text!r}; allowed: a number of levels from 1 to "
            f"{MAX_NESTED_LEVELS}, a path, and optionally a path for the last level"
        )
    return int(parts[0]), parts[1], parts[-1]
