"""A buffered request of a caller."""

import dataclasses

from laburnumford_node.http import fields


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """Complete request of a caller.

    Attributes:
        method: request method in upper case.
        target: request target as received.
        fields: header fields, names in lower case.
        value_by_name: first value of each field.
        body: the complete body.
        keep_alive: whether the caller asks for a persistent connection.
        received_s: time of `clock.now` when the last byte was read.
        remote_ip: IP address of the caller.
        connection: number of the caller's connection since the start of the process.
    """

    method: bytes
    target: bytes
    fields: list[fields.Field]
    value_by_name: dict[bytes, bytes]
    body: bytes
    keep_alive: bool
    received_s: float
    remote_ip: str
    connection: int = 0

    @property
    def path(self) -> str:
        """Path of the request target without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    @property
    def host(self) -> str:
        """Host header field without the port."""
        return self.value_by_name.get(b"host", b"").decode("latin-1").partition(":")[0]
