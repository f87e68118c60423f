"""Datagrams between nodes: load reports and how current the published values are."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import msgspec

from laburnumford_mesh import frames


class Gossip(asyncio.DatagramProtocol):
    """Sends and receives single frames without any promise that they arrive.

    Args:
        on_frame: called with the sender's IP address and the frame.
    """

    def __init__(self, *, on_frame: Callable[[str, Any], None]) -> None:
        self._on_frame = on_frame
        self._transport: asyncio.DatagramTransport | None = None
        self.invalid_count = 0

    async def start(self, address: str) -> None:
        """Binds to ``ip:port``."""
        host, _, port = address.rpartition(":")
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Hands a frame on."""
        try:
            frame = frames.decode(data)
        except msgspec.MsgspecError:
            self.invalid_count += 1
            return
        self._on_frame(str(addr[0]), frame)

    def send(self, address: tuple[str, int], frame: Any) -> None:
        """Sends a frame."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(frames.encode(frame), address)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
