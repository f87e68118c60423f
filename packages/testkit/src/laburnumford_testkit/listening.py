"""Listening sockets and the line that tells the port."""

import socket

import click


def bind(port: int, host: str = "127.0.0.1") -> socket.socket:
    """Returns a TCP socket bound to `host` and `port`; port 0 picks a free one."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, port))
    return bound


def tell_ready(port: int) -> None:
    """Prints the line that `processes` waits for."""
    click.echo(f"ready {port}")
