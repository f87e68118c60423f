"""A message body as a bounded stream."""

import asyncio
import collections
from collections.abc import Callable, Sequence
from typing import Protocol

from laburnumford_node.http import buffer_limit, fields


class FlowControl(Protocol):
    """What a body needs of the connection that feeds it."""

    def pause_reading(self) -> None:
        """Stops reading from the socket."""

    def resume_reading(self) -> None:
        """Goes on reading from the socket."""


class Body:
    """Body of one message, fed by a connection and read by one task.

    Args:
        flow: connection whose reading stops while the buffer is full.
        limit: bound on the buffered bytes.
    """

    __slots__ = (
        "_chunks",
        "_discarded",
        "_ended",
        "_error",
        "_flow",
        "_limit",
        "_paused",
        "_size",
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
        self._size = 0
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
        """Whether the whole body has arrived, read or not."""
        return self._ended

    @property
    def exhausted(self) -> bool:
        """Whether the whole body has arrived and was read."""
        return self._ended and not self._chunks

    @property
    def started(self) -> bool:
        """Whether any byte of the body was taken out by the reader."""
        return self._started

    def feed(self, data: bytes) -> None:
        """Adds received bytes."""
        self.received_bytes += len(data)
        if self._discarded:
            return
        self._chunks.append(data)
        self._size += len(data)
        self._limit.held_bytes += len(data)
        if not self._paused and self._limit.must_pause(self._size):
            self._paused = True
            self._flow.pause_reading()
        self._wake()

    def finish(self, trailers: Sequence[fields.Field] = ()) -> None:
        """Marks the end of the body."""
        self._ended = True
        self.trailers = trailers
        self._wake()

    def fail(self, error: Exception) -> None:
        """Makes the reader raise `error` after the bytes that arrived."""
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
        """Drops the bytes that nobody will read, also those that still arrive."""
        self._discarded = True
        self._clear()

    def _clear(self) -> None:
        self._chunks.clear()
        self._limit.held_bytes -= self._size
        self._size = 0

    async def read(self) -> bytes:
        """Returns the next bytes, or ``b""`` at the end.

        Raises:
            HttpError: the connection was lost or the framing is invalid.
        """
        self._announce_read()
        while not self._chunks:
            if self._ended:
                return b""
            if self._error is not None:
                raise self._error
            await self._wait()
        return self.take()

    async def wait_whole(self, limit_bytes: int) -> bool:
        """Waits until the whole body is buffered, without taking it out.

        Args:
            limit_bytes: gives up as soon as the body is known to be larger.

        Returns:
            Whether the whole body is buffered.

        Raises:
            HttpError: the connection was lost or the framing is invalid.
        """
        self._announce_read()
        while not self._ended:
            if self._error is not None:
                raise self._error
            if self._size >= limit_bytes:
                return False
            if self._paused:
                self._paused = False
                self._flow.resume_reading()
            await self._wait()
        return self._size <= limit_bytes

    def _announce_read(self) -> None:
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
