"""Writing of one request to a server that may read slowly."""

import asyncio

from laburnumford_mesh.http import buffer_budget

_PIECE_BYTES = 64 * 1024
"""Bytes that are passed to the transport at once, which copies what the kernel does not take."""

_MAX_PIECES_AT_ONCE = 16
"""Pieces after which other work of the event loop has its turn: 1 MB takes about 0.5 ms."""


class BodyWriter:
    """Writes the body of a request piece by piece, as fast as the transport takes it.

    A small body is written at once with its header section.

    Attributes:
        paused: whether the body waits for the transport.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._rest = memoryview(b"")
        self.paused = False
        self._scheduled: asyncio.Handle | None = None

    @property
    def finished(self) -> bool:
        """Whether the transport has the complete request."""
        return not self._rest

    def start(self, transport: asyncio.Transport, head: bytes, body: bytes) -> None:
        """Writes a request.

        Args:
            transport: connection to the server.
            head: header section.
            body: the complete body.
        """
        if len(body) <= buffer_budget.SMALL_BODY_BYTES:
            transport.write(head + body)
            return
        self._transport = transport
        self._rest = memoryview(body)
        transport.write(head)
        self._schedule()

    def pause(self) -> None:
        """Stops writing until the transport has sent most of its buffer."""
        self.paused = True

    def resume(self) -> None:
        """Continues to write."""
        self.paused = False
        self._schedule()

    def stop(self) -> None:
        """Drops the part of the body that is not written."""
        self._rest = memoryview(b"")

    def _schedule(self) -> None:
        if self._rest and not self.paused and self._scheduled is None:
            self._scheduled = asyncio.get_running_loop().call_soon(self._write_pieces)

    def _write_pieces(self) -> None:
        self._scheduled = None
        for _ in range(_MAX_PIECES_AT_ONCE):
            if self.paused or not self._rest or self._transport is None:
                return
            self._transport.write(self._rest[:_PIECE_BYTES])
            self._rest = self._rest[_PIECE_BYTES:]
        self._schedule()
