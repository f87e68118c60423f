"""Registration of a backend server."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerEntry:
    """Entry that a backend server registers in the store.

    Attributes:
        server_id: id of the server; it changes with each start.
        service: name of its service.
        address: ``ip:port``; reachable only from the same VM.
        zone: its availability zone.
        slots: number of requests that the server processes at a time.
        draining: whether the server takes no new requests because it is about to stop.
        cold_remaining_s: seconds until the server reaches normal speed after its start.
        started_ms: Unix time of the start of the server in milliseconds, 0 if unknown.
        sequence: number of the server's registrations since its start; it grows with each renewal.
        revision: revision of the last change of the entry.
        era: era of the store to which the revision belongs.
    """

    server_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_remaining_s: float
    started_ms: int
    sequence: int
    revision: int
    era: int = 0

    @property
    def recency_key(self) -> tuple[int, int, int]:
        """Sort key of entries with the same address; the largest belongs to the current server."""
        return (self.started_ms, self.era, self.revision)

    @property
    def registration_key(self) -> tuple[int, int] | None:
        """Sort key of the registrations of one server id, None if its start is unknown.

        The numbers start again with the server, so they are comparable only with its start.
        """
        return (self.started_ms, self.sequence) if self.started_ms else None

    @property
    def ip(self) -> str:
        """IP address of the VM of the server."""
        return self.address.rpartition(":")[0]
