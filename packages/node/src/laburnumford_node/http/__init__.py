"""HTTP/1.1 connections of the relay, on asyncio protocols over httptools.

This package is the only one that knows how calls travel, between nodes and to
backend servers, so that the transport can change behind it.
"""

from laburnumford_node.http import (
    body,
    buffer_limit,
    client_connection,
    errors,
    fields,
    pool,
    request,
    response,
    server,
    server_connection,
)

__all__ = [
    "body",
    "buffer_limit",
    "client_connection",
    "errors",
    "fields",
    "pool",
    "request",
    "response",
    "server",
    "server_connection",
]
