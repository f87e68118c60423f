"""Answer received by a client connection."""

import dataclasses

from laburnumford_node.http import body, fields


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """Holds one received answer; the body arrives while it is relayed.

    Attributes:
        status: status code.
        reason: reason phrase.
        fields: header fields, names in lower case.
        content_length: declared length in bytes, or None.
        chunked: whether the body uses the chunked transfer coding.
        bodyless: whether its status or the request method rules out a body.
        body: the body stream.
    """

    status: int
    reason: bytes
    fields: list[fields.Field]
    content_length: int | None
    chunked: bool
    bodyless: bool
    body: body.Body
