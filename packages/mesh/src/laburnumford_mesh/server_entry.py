"""A backend server as it describes itself."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerEntry:
    """One registered backend server.

    Attributes:
        server_id: name of this start of the server.
        service: name of its service.
        address: ``ip:port`` where only its own VM reaches it.
        zone: its availability zone.
        slots: requests that it runs at the same time.
        draining: whether it is about to leave.
        cold_s: seconds for which it is still slow after its start.
        born_ms: Unix time of its start in milliseconds, 0 if unknown.
        revision: revision of its last change.
    """

    server_id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_s: float
    born_ms: int
    revision: int

    @property
    def age_order(self) -> tuple[int, int]:
        """Sorts entries with one address: the last one is the server that is there now."""
        return (self.born_ms, self.revision)

    @property
    def ip(self) -> str:
        """IP address of the server's VM."""
        return self.address.rpartition(":")[0]
