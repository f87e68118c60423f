"""Request received by a server connection."""

import dataclasses

from laburnumford_node.http import body, fields


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """Holds one received request; the body arrives while it is handled.

    Attributes:
        method: method in upper case, such as ``b"GET"``.
        target: request target in origin form.
        version: ``"1.0"`` or ``"1.1"``.
        fields: header fields, names in lower case.
        value_by_name: first value of each field.
        content_length: declared length in bytes, or None.
        chunked: whether the body uses the chunked transfer coding.
        keep_alive: whether the caller wants the connection kept open.
        body: the body stream.
    """

    method: bytes
    target: bytes
    version: str
    fields: list[fields.Field]
    value_by_name: dict[bytes, bytes]
    content_length: int | None
    chunked: bool
    keep_alive: bool
    body: body.Body

    @property
    def has_body(self) -> bool:
        """Whether a body follows the header section."""
        return self.chunked or bool(self.content_length)

    @property
    def path(self) -> str:
        """Path of the target without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")
