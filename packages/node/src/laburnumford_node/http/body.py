"""Message body as a stream with a bounded buffer."""

import asyncio
import collections
from collections.abc import Callable, Sequence
from typing import Protocol

from laburnumford_node.http import buffer_limit, fields


class FlowControl(Protocol):
    """Flow control of the connection that feeds a body."""

    def pause_reading(self) -> None:
        """Stops reading from the socket."""

    def resume_reading(self) -> None:
        """Resumes reading from the socket."""


class Body:
    """Buffers the body of one message, which a connection feeds and one task reads.

    Args:
        flow: connection whose reading stops while the buffer is full.
        limit: limit on the buffered bytes of the process.
    """

    __slots__ = (
        "_buffered_bytes",
        "_chunks",
        "_discarded",
        "_ended",
        "_error",
        "_flow",
        "_limit",
        "_paused",
        "_started",
        "_waiter",
        "on_first_read",
        "received_bytes",
        "trailers",
    )

    def __init__(self, flow: FlowControl, limit: buffer_limit.BufferLimit) -> None:
        self._flow = flow
        self._limit = limit
        self._discarded = False
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._ended = False
        self._error: Exception | None = None
        self._paused = False
        self._started = False
        self._waiter: asyncio.Future[None] | None = None
        self.on_first_read: Callable[[], None] | None = None
        self.received_bytes = 0
        self.trailers: Sequence[fields.Field] = ()

    @property
    def received(self) -> bool:
        """Whether the whole body has arrived, whether or not it has been read."""
        return self._ended

    @property
    def exhausted(self) -> bool:
        """Whether the whole body has arrived and has been read."""
        return self._ended and not self._chunks

    @property
    def started(self) -> bool:
        """Whether the reader has taken any byte of the body."""
        return self._started

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        self.received_bytes += len(data)
        if self._discarded:
            return
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        self._limit.held_bytes += len(data)
        if not self._paused and self._limit.must_pause(self._buffered_bytes):
            self._paused = True
            self._flow.pause_reading()
        self._wake()

    def finish(self, trailers: Sequence[fields.Field] = ()) -> None:
        """Marks the end of the body."""
        self._ended = True
        self.trailers = trailers
        self._wake()

    def fail(self, error: Exception) -> None:
        """Makes the reader raise `error` once it has taken the bytes that arrived."""
        if not self._ended and self._error is None:
            self._error = error
            self._wake()

    def take(self) -> bytes:
        """Returns the bytes that have arrived, without waiting."""
        if not self._chunks:
            return b""
        self._started = True
        data = self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)
        self._clear()
        if self._paused:
            self._paused = False
            self._flow.resume_reading()
        return data

    def discard(self) -> None:
        """Drops the unread bytes and all bytes that arrive later."""
        self._discarded = True
        self._clear()

    def _clear(self) -> None:
        self._chunks.clear()
        self._limit.held_bytes -= self._buffered_bytes
        self._buffered_bytes = 0

    async def read(self) -> bytes:
        """Returns the next bytes, or ``b""`` at the end.

        Raises:
            HttpError: the connection was lost or the framing is invalid.
        """
        self._call_on_first_read()
        while not self._chunks:
            if self._ended:
                return b""
            if self._error is not None:
                raise self._error
            await self._wait()
        return self.take()

    async def wait_until_buffered(self, limit_bytes: int) -> bool:
        """Waits until the whole body is buffered, without taking any byte.

        Args:
            limit_bytes: largest body to wait for; the wait ends when the buffer reaches this size.

        Returns:
            Whether the whole body is buffered and not larger than the limit.

        Raises:
            HttpError: the connection was lost or the framing is invalid.
        """
        self._call_on_first_read()
        while not self._ended:
            if self._error is not None:
                raise self._error
            if self._buffered_bytes >= limit_bytes:
                return False
            if self._paused:
                self._paused = False
                self._flow.resume_reading()
            await self._wait()
        return self._buffered_bytes <= limit_bytes

    def _call_on_first_read(self) -> None:
        if self.on_first_read is not None:
            callback, self.on_first_read = self.on_first_read, None
            callback()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
