"""Nested calls of a backend server stand-in through the node beside it."""

import asyncio

from laburnumford_testkit import errors
from laburnumford_testkit.backend import request as request_module
from laburnumford_testkit.caller import connection as connection_module
from laburnumford_testkit.caller import exchange, pool

MAX_LEVELS = 32
_PASSED_ON = ("laburnumford-attempts", "laburnumford-depth", "laburnumford-timeout-ms")
_DEFAULT_TIMEOUT_MS = 1000.0


class NestedCaller:
    """Makes the call that a request asks for with `x-nested-path`.

    The header has the number of levels left, the path of these levels and optionally the path
    of the last level, such as `17 /chain /end`.

    Args:
        edge_address: `ip:port` of the edge listener of the node beside the server.
    """

    def __init__(self, *, edge_address: str) -> None:
        self._edge_address = edge_address
        self._connections = pool.Pool()

    async def call(self, request: request_module.Request) -> int:
        """Returns the status of the nested call; 502 if it broke, 504 if it took too long."""
        left, path, last = parse(request.headers["x-nested-path"])
        lines = [
            f"GET {path if left > 1 else last} HTTP/1.1",
            f"host: {self._edge_address}",
            f"x-call-id: {request.headers.get('x-call-id', '')}/{left}",
        ]
        lines += [
            f"{name}: {request.headers[name]}" for name in _PASSED_ON if name in request.headers
        ]
        if "x-work-ms" in request.headers:
            lines.append(f"x-work-ms: {request.headers['x-work-ms']}")
        if left > 1:
            lines.append(f"x-nested-path: {left - 1} {path} {last}")
        made = exchange.Exchange(method="GET")
        connection: connection_module.Connection | None = None
        whole = False
        timeout_s = request.number("laburnumford-timeout-ms", _DEFAULT_TIMEOUT_MS) / 1000
        try:
            async with asyncio.timeout(timeout_s):
                connection = self._connections.take_idle(
                    self._edge_address
                ) or await self._connections.take(self._edge_address)
                connection.begin(made, ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
                await made.ended
                whole = True
        except TimeoutError:
            return 504
        except errors.ConnectionBrokenError:
            return 502
        finally:
            if connection is not None and whole:
                self._connections.give_back(self._edge_address, connection)
            elif connection is not None:
                connection.close()
        return made.status


def parse(text: str) -> tuple[int, str, str]:
    """Returns levels left, path, and path of the last level.

    Raises:
        TestkitError: the header is malformed.
    """
    parts = text.split()
    if (
        len(parts) not in (2, 3)
        or not parts[0].isdecimal()
        or not 1 <= int(parts[0]) <= MAX_LEVELS
    ):
        raise errors.TestkitError(
            f"x-nested-path is {text!r}; allowed: 1 to {MAX_LEVELS}, a path, and optionally a "
            "path of the last level"
        )
    return int(parts[0]), parts[1], parts[-1]
