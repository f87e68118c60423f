"""Bodies that are sent on one stream in chunks."""

import asyncio
import collections
from collections.abc import Callable

from laburnumford_mesh import frames

_MAX_CHUNKS_AT_ONCE = 16
"""Chunks after which other work of the event loop has its turn: 512 KB take about 1 ms."""


class _OutgoingBody:
    """A body that is not sent completely.

    Attributes:
        call_id: id of its call.
        view: the body.
        offset: number of bytes that are sent.
        on_sent: called when the last chunk is written.
    """

    __slots__ = ("call_id", "offset", "on_sent", "view")

    def __init__(self, call_id: int, body: bytes, on_sent: Callable[[], None]) -> None:
        self.call_id = call_id
        self.view = memoryview(body)
        self.offset = 0
        self.on_sent = on_sent


class OutgoingBodies:
    """Sends chunks of several bodies in turn, as fast as the transport takes them.

    Args:
        write: writes a frame; returns False if the stream is closed.
        on_idle: called when the last body is written completely or is no longer sent.

    Attributes:
        paused: whether chunks wait for the transport.
    """

    def __init__(
        self, *, write: Callable[[frames.BodyChunk], bool], on_idle: Callable[[], None]
    ) -> None:
        self._write = write
        self._on_idle = on_idle
        self._bodies: collections.deque[_OutgoingBody] = collections.deque()
        self.paused = False
        self._scheduled: asyncio.Handle | None = None

    def add(self, call_id: int, body: bytes, on_sent: Callable[[], None] = lambda: None) -> None:
        """Starts to send a body; replaces an unfinished one of the same call.

        Args:
            call_id: id of the call.
            body: the complete body.
            on_sent: called when the last chunk is written.
        """
        self.remove(call_id)
        self._bodies.append(_OutgoingBody(call_id, body, on_sent))
        self._schedule()

    def remove(self, call_id: int) -> None:
        """Stops sending the body of a call."""
        if self._bodies:
            self._bodies = collections.deque(
                each for each in self._bodies if each.call_id != call_id
            )
            self._check_idle()

    def clear(self) -> None:
        """Stops sending all bodies."""
        self._bodies.clear()

    def pause(self) -> None:
        """Stops writing until the transport has sent most of its buffer."""
        self.paused = True

    def resume(self) -> None:
        """Continues to write."""
        self.paused = False
        self._schedule()

    def _check_idle(self) -> None:
        if not self._bodies:
            self._on_idle()

    def _schedule(self) -> None:
        if self._bodies and not self.paused and self._scheduled is None:
            self._scheduled = asyncio.get_running_loop().call_soon(self._write_chunks)

    def _write_chunks(self) -> None:
        self._scheduled = None
        for _ in range(_MAX_CHUNKS_AT_ONCE):
            if self.paused or not self._bodies:
                return
            body = self._bodies.popleft()
            end = min(body.offset + frames.CHUNK_BYTES, len(body.view))
            chunk = frames.BodyChunk(body.call_id, body.offset, body.view[body.offset : end])
            if not self._write(chunk):
                self.clear()
                return
            body.offset = end
            if end < len(body.view):
                self._bodies.append(body)
            else:
                body.on_sent()
                self._check_idle()
        self._schedule()
