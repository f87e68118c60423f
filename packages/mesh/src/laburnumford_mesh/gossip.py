"""Datagrams between nodes: load updates and digests of the published values."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, cast

from laburnumford_mesh import errors, frames

_LOG = logging.getLogger("laburnumford.mesh")


class Gossip(asyncio.DatagramProtocol):
    """Sends and receives frames as datagrams, which may be lost.

    Args:
        on_frame: called with the IP address of the sender and the frame.
    """

    def __init__(self, *, on_frame: Callable[[str, Any], None]) -> None:
        self._on_frame = on_frame
        self._transport: asyncio.DatagramTransport | None = None
        self.invalid_datagram_count = 0

    async def start(self, address: str) -> None:
        """Binds to ``ip:port``."""
        host, _, port = address.rpartition(":")
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Decodes a frame and passes it on; counts, logs and drops an invalid one."""
        try:
            frame = frames.decode(data)
        except errors.DecodeError as error:
            self.invalid_datagram_count += 1
            _LOG.warning("datagram from %s: %s", addr[0], error)
            return
        try:
            self._on_frame(str(addr[0]), frame)
        except Exception:
            _LOG.exception("datagram from %s: cannot handle %s", addr[0], type(frame).__name__)

    def send(self, address: tuple[str, int], frame: Any) -> None:
        """Sends a frame, or does nothing if the socket is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(frames.encode(frame), address)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
