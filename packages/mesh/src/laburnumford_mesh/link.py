"""A stream of frames to or from another node."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import msgspec

from laburnumford_mesh import clock, frames

_SHARED_BYTES_PER_S = 250_000.0
"""Bytes a second of a stream on the narrowest link of a VM, 5 Mbit/s, of which it has a part.
Calls with large bodies share the link with those of other nodes."""


class Link(asyncio.Protocol):
    """Splits received bytes into frames.

    Args:
        greeting: first frame to send.
        on_frame: called for each frame.
        on_lost: called once when the stream has ended.
    """

    def __init__(
        self,
        *,
        greeting: frames.Hello,
        on_frame: Callable[["Link", Any], None],
        on_lost: Callable[["Link"], None],
    ) -> None:
        self._greeting = greeting
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self.lost = False
        self.heard_s = clock.now()
        self.sent_until_s = clock.now()
        """When all frames so far have arrived, even on a narrow link."""
        self.peer_ip = ""
        self.peer_incarnation: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport and greets the other node."""
        self._transport = cast(asyncio.Transport, transport)
        self.peer_ip = str(transport.get_extra_info("peername")[0])
        self.send(self._greeting)

    def data_received(self, data: bytes) -> None:
        """Hands whole frames on."""
        self.heard_s = clock.now()
        buffer = self._buffer
        buffer += data
        start = 0
        head = frames.LENGTH.size
        while len(buffer) - start >= head:
            (size,) = frames.LENGTH.unpack_from(buffer, start)
            if size > frames.MAX_FRAME_BYTES:
                self.abort()
                return
            end = start + head + size
            if len(buffer) < end:
                break
            # A copy: memory views would keep the buffer from shrinking.
            encoded = bytes(buffer[start + head : end])
            start = end
            try:
                frame = frames.decode(encoded)
            except msgspec.MsgspecError:
                self.abort()
                return
            self._on_frame(self, frame)
        if start:
            del buffer[:start]

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Reports the end."""
        self.lost = True
        self._on_lost(self)

    def send(self, frame: Any) -> bool:
        """Sends a frame; returns False if the stream has ended."""
        if self.lost or self._transport is None or self._transport.is_closing():
            return False
        encoded = frames.encode_for_stream(frame)
        self.sent_until_s = (
            max(self.sent_until_s, clock.now()) + len(encoded) / _SHARED_BYTES_PER_S
        )
        self._transport.write(encoded)
        return True

    def abort(self) -> None:
        """Ends the stream at once."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Ends the stream after the bytes written so far."""
        if self._transport is not None:
            self._transport.close()
