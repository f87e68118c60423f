"""A whole answer."""

import dataclasses
from collections.abc import Sequence

from laburnumford_node.http import fields


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """One answer, received to its end or made by the node.

    Attributes:
        status: status code.
        reason: reason phrase.
        fields: end-to-end header fields without framing, names in lower case.
        body: the whole body.
        close: whether the connection has to close after it.
    """

    status: int
    reason: bytes
    fields: Sequence[fields.Field]
    body: bytes
    close: bool = False
