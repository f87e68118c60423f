"""Problem details (RFC 9457) for the answers that a node generates itself."""

import http
import json
from collections.abc import Sequence

from laburnumford_node import header_names, outcome, reason
from laburnumford_node.http import errors, fields, server_connection

_CONTENT_TYPE = (b"content-type", b"application/problem+json")


def status_line(status: int) -> bytes:
    """Returns the status line of an answer."""
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = ""
    return f"HTTP/1.1 {status} {phrase}".encode()


def encode(
    reason: reason.Reason,
    result: outcome.Outcome,
    detail: str,
    *,
    status: int | None = None,
    close: bool = False,
    head_only: bool = False,
    extra: Sequence[fields.Field] = (),
) -> bytes:
    """Returns an encoded answer with problem details.

    Args:
        reason: reason, which determines the title and the status.
        result: whether the request was refused or its outcome is unknown.
        detail: sentence for the caller.
        status: status code to use instead of that of the reason.
        close: announces that the connection closes after the answer.
        head_only: leaves the body out, for an answer to HEAD.
        extra: further header fields.
    """
    code = status if status is not None else reason.status
    document = {
        "type": f"urn:laburnumford:{reason.label}",
        "title": reason.title,
        "status": code,
        "detail": detail,
        "outcome": result.value.decode(),
    }
    payload = json.dumps(document).encode()
    head = [
        _CONTENT_TYPE,
        (b"content-length", str(len(payload)).encode()),
        (header_names.OUTCOME, result.value),
        (header_names.REASON, reason.label.encode()),
        *extra,
    ]
    if close:
        head.append((b"connection", b"close"))
    encoded = fields.encode(status_line(code), head)
    return encoded if head_only else encoded + payload


def answer_bad_message(
    connection: server_connection.ServerConnection, error: errors.BadMessageError
) -> None:
    """Answers a request that could not be parsed; the connection closes after the answer."""
    problem_reason = {
        431: reason.Reason.HEADER_TOO_LARGE,
        501: reason.Reason.NOT_SUPPORTED,
    }.get(error.status, reason.Reason.BAD_REQUEST)
    connection.write(
        encode(
            problem_reason, outcome.Outcome.REFUSED, error.detail, status=error.status, close=True
        )
    )
