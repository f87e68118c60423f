"""HTTP/1.1 connections of the node, built on asyncio protocols and httptools.

Only this package depends on the transport of calls between nodes and to backend servers, so
that the transport can be replaced without a change elsewhere.
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
