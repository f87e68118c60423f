"""Encoding of requests to the backend server on the same VM."""

from laburnumford_mesh import frames, wire_names
from laburnumford_node.http import fields

_BODYLESS_METHODS = frozenset({b"GET", b"HEAD", b"DELETE"})
"""Methods whose requests have a Content-Length field only if they have a body."""


def encode_head(request: frames.Request, names: wire_names.WireNames, remaining_s: float) -> bytes:
    """Returns the HTTP/1.1 encoding of the header section of a request.

    Args:
        request: the request.
        names: header field names.
        remaining_s: seconds left until the deadline.
    """
    head = [
        *request.fields,
        (names.timeout_ms, b"%d" % max(int(remaining_s * 1000), 1)),
        (names.target_server, request.server_id.encode()),
    ]
    if request.body or request.method not in _BODYLESS_METHODS:
        head.append((b"content-length", str(len(request.body)).encode()))
    start_line = b"%b %b HTTP/1.1" % (request.method, request.target)
    return fields.encode(start_line, head)
