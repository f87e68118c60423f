"""Stream of frames to or from another node."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, cast

from laburnumford_mesh import clock, errors, frames
from laburnumford_node.http import sockets

_LOG = logging.getLogger("laburnumford.mesh")

_ASSUMED_BYTES_PER_S = 250_000.0
"""Bandwidth that a stream is assumed to get. The slowest network link of a VM has 5 Mbit/s, and the
stream shares it with the calls of other nodes, which may have large bodies."""

_MAX_FIRST_FRAME_BYTES = 64
"""Fits a hello. Until then the other end need not be a node, and nothing larger is buffered."""


class Link(asyncio.Protocol):
    """Sends frames and splits received bytes into frames.

    Args:
        hello: first frame to send.
        on_frame: called for each frame.
        on_lost: called once when the stream has closed.

    Attributes:
        lost: whether the stream has closed.
        last_received_s: time of `clock.now` when the last bytes were received.
        peer_ip: IP address of the other node.
        peer_incarnation: incarnation of the other node, None before its hello.
    """

    def __init__(
        self,
        *,
        hello: frames.Hello,
        on_frame: Callable[["Link", Any], None],
        on_lost: Callable[["Link"], None],
    ) -> None:
        self._hello = hello
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._max_frame_bytes = _MAX_FIRST_FRAME_BYTES
        self.lost = False
        self.last_received_s = clock.now()
        self.estimated_delivery_s = clock.now()
        """Time by which all frames sent so far have arrived, even on a slow network link."""
        self.peer_ip = ""
        self.peer_incarnation: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sends the hello."""
        self._transport = cast(asyncio.Transport, transport)
        self.peer_ip = sockets.peer_ip(transport)
        self.send(self._hello)

    def data_received(self, data: bytes) -> None:
        """Decodes complete frames and passes them on; aborts the stream on an invalid one."""
        self.last_received_s = clock.now()
        buffer = self._buffer
        buffer += data
        start = 0
        prefix_size = frames.LENGTH_PREFIX.size
        while len(buffer) - start >= prefix_size:
            (size,) = frames.LENGTH_PREFIX.unpack_from(buffer, start)
            if size > self._max_frame_bytes:
                self.abort()
                return
            end = start + prefix_size + size
            if len(buffer) < end:
                break
            # A copy, because a memory view prevents the buffer from being resized.
            encoded = bytes(buffer[start + prefix_size : end])
            start = end
            try:
                frame = frames.decode(encoded)
            except errors.DecodeError as error:
                _LOG.warning("link to %s: %s; it is closed", self.peer_ip, error)
                self.abort()
                return
            self._max_frame_bytes = frames.MAX_FRAME_BYTES
            self._handle(frame)
        if start:
            del buffer[:start]

    def _handle(self, frame: Any) -> None:
        try:
            self._on_frame(self, frame)
        except Exception:
            # The node would send the same frame again on a new stream, and nothing behind it
            # would ever arrive.
            _LOG.exception("link to %s: cannot handle %s", self.peer_ip, type(frame).__name__)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Reports that the stream has closed."""
        self.lost = True
        self._on_lost(self)

    def send(self, frame: Any) -> bool:
        """Sends a frame; returns False if the stream is closed."""
        if self.lost or self._transport is None or self._transport.is_closing():
            return False
        encoded = frames.encode_for_stream(frame)
        self.estimated_delivery_s = (
            max(self.estimated_delivery_s, clock.now()) + len(encoded) / _ASSUMED_BYTES_PER_S
        )
        self._transport.write(encoded)
        return True

    def abort(self) -> None:
        """Closes the stream at once and drops unsent bytes."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes the stream after the bytes written so far are sent."""
        if self._transport is not None:
            self._transport.close()
