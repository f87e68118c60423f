"""Stream of frames to or from another node."""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from typing import Any, cast

from laburnumford_mesh import clock, errors, frames, outgoing_bodies
from laburnumford_mesh.http import buffer_budget
from laburnumford_node.http import sockets

_LOG = logging.getLogger("laburnumford.mesh")

_ASSUMED_BYTES_PER_S = 250_000.0
"""Bandwidth that a stream is assumed to get. The slowest network link of a VM has 5 Mbit/s, and the
stream shares it with the calls of other nodes, which may have large bodies."""

_MAX_FIRST_FRAME_BYTES = 64
"""Fits a hello. Until then the other end need not be a node, and nothing larger is buffered."""


_WRITE_BUFFER_BYTES = 32 * 1024
"""Bytes in the transport above which chunks of bodies wait, and bytes in the kernel that are not
sent yet. A ping or a small request is queued behind both: 0.1 s on a link of 5 Mbit/s."""

_MAX_UNCOUNTED_FRAME_BYTES = 1024 * 1024
"""Fits the published values of 10,000 servers, 0.5 MB compressed, which a node must learn also while
bodies fill its memory. Larger frames are bodies of nodes that send no chunks; they are counted while
they are received."""


class Link(asyncio.Protocol):
    """Sends frames and splits received bytes into frames.

    Args:
        hello: first frame to send.
        on_frame: called for each frame.
        on_lost: called once when the stream has closed.
        budget: limit on the bodies that the process holds.

    Attributes:
        bodies: bodies that are sent in chunks.
        peer_takes_chunks: whether the other node takes bodies in chunks.
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
        budget: buffer_budget.BufferBudget,
    ) -> None:
        self._hello = hello
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._max_frame_bytes = _MAX_FIRST_FRAME_BYTES
        self._budget = budget
        self._reserved_bytes = 0
        self.bodies = outgoing_bodies.OutgoingBodies(
            write=self._write, on_idle=lambda: self._limit_unsent_bytes(0)
        )
        self.lost = False
        self.last_received_s = clock.now()
        self.estimated_delivery_s = clock.now()
        """Time by which all frames sent so far have arrived, even on a slow network link."""
        self.peer_ip = ""
        self.peer_incarnation: int | None = None
        self.peer_takes_chunks = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sends the hello."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
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
                if not self._reserve_frame(size):
                    return
                break
            # A copy, because a memory view prevents the buffer from being resized.
            encoded = bytes(buffer[start + prefix_size : end])
            start = end
            self._release_frame()
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
        self._buffer.clear()
        self._release_frame()
        self.bodies.clear()
        self._on_lost(self)

    def pause_writing(self) -> None:
        """Makes chunks of bodies wait while the other node or the network is slow."""
        self.bodies.pause()

    def resume_writing(self) -> None:
        """Continues to send chunks of bodies."""
        self.bodies.resume()

    def send(self, frame: Any) -> bool:
        """Sends a frame; returns False if the stream is closed."""
        if self.lost or self._transport is None or self._transport.is_closing():
            return False
        encoded = frames.encode_for_stream(frame)
        self._expect_delivery(len(encoded))
        self._transport.write(encoded)
        return True

    def send_body(
        self, call_id: int, body: bytes, on_sent: Callable[[], None] = lambda: None
    ) -> None:
        """Sends a body in chunks; `on_sent` is called when the last one is written."""
        # The complete body counts at once: when its chunks are written depends on the network.
        self._expect_delivery(len(body))
        self.bodies.add(call_id, body, on_sent)
        self._limit_unsent_bytes(_WRITE_BUFFER_BYTES)

    def observe_hello(self, frame: frames.Hello) -> None:
        """Stores what the other node says about itself."""
        self.peer_incarnation = frame.incarnation
        self.peer_takes_chunks = frame.takes_chunks

    def _limit_unsent_bytes(self, size: int) -> None:
        """Bounds the bytes that the kernel takes before it can send them; 0 removes the bound.

        Without the bound, the kernel buffers megabytes of bodies in front of a ping. It is set only
        while bodies are sent, so that small frames are sent as without large bodies.
        """
        if self.lost or self._transport is None:
            return
        connected = self._transport.get_extra_info("socket")
        if connected is not None and hasattr(socket, "TCP_NOTSENT_LOWAT"):
            with contextlib.suppress(OSError):
                # The stream may have been reset.
                connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, size)

    def _write(self, frame: frames.BodyChunk) -> bool:
        if self.lost or self._transport is None or self._transport.is_closing():
            return False
        self._transport.write(frames.encode_for_stream(frame))
        return True

    def _expect_delivery(self, size: int) -> None:
        self.estimated_delivery_s = (
            max(self.estimated_delivery_s, clock.now()) + size / _ASSUMED_BYTES_PER_S
        )

    def _reserve_frame(self, size: int) -> bool:
        """Reserves memory for a large frame; closes the stream if it does not fit."""
        if self._reserved_bytes or size <= _MAX_UNCOUNTED_FRAME_BYTES:
            return True
        if not self._budget.reserve(size):
            _LOG.warning("link to %s: no memory for %d bytes; it is closed", self.peer_ip, size)
            self.abort()
            return False
        self._reserved_bytes = size
        return True

    def _release_frame(self) -> None:
        if self._reserved_bytes:
            self._budget.release(self._reserved_bytes)
            self._reserved_bytes = 0

    def abort(self) -> None:
        """Closes the stream at once and drops unsent bytes."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes the stream after the bytes written so far are sent."""
        if self._transport is not None:
            self._transport.close()
