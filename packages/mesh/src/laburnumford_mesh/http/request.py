"""A whole request of a caller."""

import dataclasses

from laburnumford_node.http import fields


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One request, received to its end.

    Attributes:
        method: method in upper case.
        target: request target as received.
        fields: header fields, names in lower case.
        value_by_name: first value of each field.
        body: the whole body.
        keep_alive: whether the caller wants the connection kept open.
        received_s: time when its last byte was read, of `clock.now`.
        remote_ip: address that the connection came from.
    """

    method: bytes
    target: bytes
    fields: list[fields.Field]
    value_by_name: dict[bytes, bytes]
    body: bytes
    keep_alive: bool
    received_s: float
    remote_ip: str

    @property
    def path(self) -> str:
        """Path of the target without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    @property
    def host(self) -> str:
        """Host without a port."""
        return self.value_by_name.get(b"host", b"").decode("latin-1").partition(":")[0]
