"""Server that sends bytes without end."""

import asyncio
from typing import Any

_BLOCK_BYTES = 16_384


class FloodingServer:
    """Server that sends a start and then repeats a pattern until the connection is closed.

    Attributes:
        sent_bytes: bytes handed to the sockets of all connections.
        closed: set when the client has closed a connection.
        port: TCP port.
    """

    def __init__(self, start, pattern):
        self._start = start
        self._block = pattern * (_BLOCK_BYTES // len(pattern) + 1)
        self._server: Any = None
        self.sent_bytes = 0
        self.closed = asyncio.Event()
        self.port = 0

    async def __aenter__(self):
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        """Stops listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        try:
            writer.write(self._start)
            while True:
                writer.write(self._block)
                self.sent_bytes += len(self._block)
                await writer.drain()
        except ConnectionError:
            self.closed.set()
        finally:
            writer.close()
