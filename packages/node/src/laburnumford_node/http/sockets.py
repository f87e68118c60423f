"""State of a connection in the operating system."""

import asyncio
import fcntl
import sys
import termios


def has_unread_bytes(transport: asyncio.Transport | None) -> bool:
    """Returns whether the socket of an open transport holds unread bytes."""
    if transport is None or transport.is_closing():
        return False
    found = transport.get_extra_info("socket")
    pending = fcntl.ioctl(found.fileno(), termios.FIONREAD, b"\0" * 4)
    return int.from_bytes(pending, sys.byteorder) > 0


def peer_ip(transport: asyncio.BaseTransport) -> str:
    """Returns the IP address of the other end, empty if it has reset the connection already."""
    name = transport.get_extra_info("peername")
    return str(name[0]) if name else ""
