"""Loopback addresses for the processes of one test."""

import contextlib
import os
import socket


def loopback_host() -> str:
    """Returns a loopback IP that depends on the process id.

    Thus, processes of parallel tests listen on different IPs, and listening
    ports cannot collide with the source ports of outgoing connections, which
    use 127.0.0.1.
    """
    pid = os.getpid()
    return f"127.{1 + (pid >> 16) % 254}.{(pid >> 8) & 255}.{1 + (pid & 255) % 254}"


def free_addresses(count: int, host: str | None = None) -> tuple[str, ...]:
    """Returns `count` different addresses `ip:port` on which nothing listens.

    Args:
        count: number of addresses.
        host: IP of all addresses; default `loopback_host()`.
    """
    chosen = loopback_host() if host is None else host
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            bound = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
            bound.bind((chosen, 0))
            found.append(f"{chosen}:{bound.getsockname()[1]}")
        return tuple(found)
