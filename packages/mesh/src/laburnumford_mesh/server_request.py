"""Form in which the server beside a node gets a request."""

from laburnumford_mesh import frames, wire_names
from laburnumford_node.http import fields

_BODYLESS_METHODS = frozenset({b"GET", b"HEAD", b"DELETE"})
"""Requests of these methods carry a length only with a body."""


def encode(request: frames.Request, names: wire_names.WireNames, left_s: float) -> bytes:
    """Returns the bytes of a request for its server.

    Args:
        request: the request.
        names: header field names.
        left_s: seconds until the deadline.
    """
    head = [
        *request.fields,
        (names.timeout_ms, b"%d" % max(int(left_s * 1000), 1)),
        (names.target_server, request.server_id.encode()),
    ]
    if request.body or request.method not in _BODYLESS_METHODS:
        head.append((b"content-length", str(len(request.body)).encode()))
    start_line = b"%b %b HTTP/1.1" % (request.method, request.target)
    return fields.encode(start_line, head) + request.body
