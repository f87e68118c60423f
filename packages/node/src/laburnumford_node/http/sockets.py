"""State of a connection in the operating system."""

import asyncio
import fcntl
import select
import socket
import struct
import sys
import termios


def has_unread_bytes(transport: asyncio.Transport | None) -> bool:
    """Returns whether the socket of an open transport holds unread bytes."""
    if transport is None or transport.is_closing():
        return False
    found = transport.get_extra_info("socket")
    pending = fcntl.ioctl(found.fileno(), termios.FIONREAD, b"\0" * 4)
    return int.from_bytes(pending, sys.byteorder) > 0


def is_ended_by_peer(transport: asyncio.Transport) -> bool:
    """Returns whether the other end has closed its sending half or reset the connection."""
    if transport.is_closing():
        return False
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def peer_ip(transport: asyncio.BaseTransport) -> str:
    """Returns the IP address of the other end, empty if it has reset the connection already."""
    name = transport.get_extra_info("peername")
    return str(name[0]) if name else ""


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Returns how many written bytes the other end's system has not acknowledged; 0 if closing."""
    if transport.is_closing():
        return 0
    found = transport.get_extra_info("socket")
    unacknowledged = fcntl.ioctl(found.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    return int.from_bytes(unacknowledged, sys.byteorder)


def discard_on_close(transport: asyncio.Transport) -> None:
    """Makes the system drop unsent bytes and reset the connection when it is closed.

    Otherwise it keeps them for a caller that does not read.
    """
    found = transport.get_extra_info("socket")
    if found is not None and not transport.is_closing():
        found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def limit_unsent(transport: asyncio.Transport, size: int) -> None:
    """Limits the bytes that the system takes before it can send them; 0 ends the limit."""
    found = transport.get_extra_info("socket")
    if found is not None and not transport.is_closing():
        found.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, size)
