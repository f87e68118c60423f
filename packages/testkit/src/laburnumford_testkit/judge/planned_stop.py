"""A planned stop of a backend server or of its adjacent node."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlannedStop:
    """A planned stop, which must interrupt no run and no request in flight.

    Attributes:
        server: name of the backend server.
        began: time of SIGTERM, seconds of the monotonic clock.
        ended: time at which the end of the process was seen, on the same clock.
        edge_address: edge address of the stopped node; empty if the node kept running.
        exit_status: exit status of the process.
    """

    server: str
    began: float
    ended: float
    edge_address: str = ""
    exit_status: int = 0
