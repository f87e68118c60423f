"""Request as the fair sharing of a server sees it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareClaim:
    """Work that one request asks of a server, and the levels by which shares are kept.

    Attributes:
        request_class: name of the route.
        vm: VM at which the request entered; empty if unknown.
        connection: connection of the caller at that VM, 0 if unknown.
        cost_s: expected service time in seconds.
    """

    request_class: str
    vm: str
    connection: int
    cost_s: float

    @property
    def path(self) -> tuple[str, str, int]:
        """Keys from the top level of the shares to the lowest."""
        return (self.request_class, self.vm, self.connection)
