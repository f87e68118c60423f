"""Listening sockets and the line that reports their port."""

import socket

import click


def bind(port: int, host: str = "127.0.0.1") -> socket.socket:
    """Returns a TCP socket bound to `host` and `port`; port 0 picks a free one."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, port))
    return bound


def print_ready(port: int) -> None:
    """Prints the line by which `processes.process` detects that this process is ready."""
    click.echo(f"ready {port}")
