"""Writes answers to a transport without buffering more than one piece in it."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

from laburnumford_mesh import clock
from laburnumford_node.http import sockets

_PIECE_BYTES = 256 * 1024
"""Bytes handed to the transport at a time. It copies what the socket does not take."""


@dataclasses.dataclass(slots=True)
class _Part:
    """Bytes that are not handed to the transport yet, and what is reserved for them."""

    unwritten: memoryview
    reserved_bytes: int


class AnswerWriter:
    """Queues answers and hands them to the transport as the caller reads them.

    The reserved bytes of an answer are released when the write buffer of the transport is empty
    after its last piece.

    Args:
        release: releases reserved bytes.
        on_empty: called when all queued bytes have been passed to the system.

    Attributes:
        reserved_bytes: bytes that are reserved for queued answers.
    """

    def __init__(self, *, release: Callable[[int], None], on_empty: Callable[[], None]) -> None:
        self._release = release
        self._on_empty = on_empty
        self._transport: asyncio.Transport | None = None
        self._parts: collections.deque[_Part] = collections.deque()
        self._paused = False
        self._written_bytes = 0
        self._acknowledged_bytes = 0
        self._progress_s = 0.0
        self.reserved_bytes = 0

    @property
    def empty(self) -> bool:
        """Whether everything has been passed to the system."""
        return not self._parts

    def attach(self, transport: asyncio.Transport) -> None:
        """Sets the transport, which then reports each time whether its buffer is empty."""
        self._transport = transport
        transport.set_write_buffer_limits(high=0)

    def write(self, data: bytes, reserved_bytes: int = 0) -> None:
        """Queues bytes.

        Args:
            data: the bytes.
            reserved_bytes: bytes to release when they have been sent.
        """
        if self.empty:
            self._progress_s = clock.now()
        self.reserved_bytes += reserved_bytes
        self._parts.append(_Part(memoryview(data), reserved_bytes))
        self._write_pieces()

    def pause(self) -> None:
        """Stops writing; the transport calls this when its buffer is not empty."""
        self._paused = True

    def resume(self) -> None:
        """Continues to write; the transport calls this when its buffer is empty."""
        self._paused = False
        self._write_pieces()
        if self.empty:
            self._on_empty()

    def clear(self) -> None:
        """Drops all queued bytes and releases what is reserved for them."""
        self._parts.clear()
        self._release(self.reserved_bytes)
        self.reserved_bytes = 0

    def observe_progress(self, now: float) -> None:
        """Updates the time of the last progress: bytes that the caller's system acknowledged."""
        if self.empty or self._transport is None:
            return
        acknowledged_bytes = (
            self._written_bytes
            - self._transport.get_write_buffer_size()
            - sockets.unacknowledged_bytes(self._transport)
        )
        if acknowledged_bytes != self._acknowledged_bytes:
            self._acknowledged_bytes = acknowledged_bytes
            self._progress_s = now

    def stalled_s(self, now: float) -> float:
        """Returns for how many seconds the caller has read nothing; 0 if nothing is unsent."""
        return 0.0 if self.empty else now - self._progress_s

    def _write_pieces(self) -> None:
        while self._parts and not self._paused and self._transport is not None:
            part = self._parts[0]
            piece = part.unwritten[:_PIECE_BYTES]
            part.unwritten = part.unwritten[_PIECE_BYTES:]
            self._written_bytes += len(piece)
            # May call `pause` before it returns.
            self._transport.write(piece)
            if not part.unwritten and not self._paused and self._parts:
                self._parts.popleft()
                self.reserved_bytes -= part.reserved_bytes
                self._release(part.reserved_bytes)
