"""A planned stop of a backend server or of the node beside it."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlannedStop:
    """A stop that must interrupt nothing.

    Attributes:
        server: name of the backend server.
        began: time of SIGTERM, seconds of the monotonic clock.
        ended: time at which the process had ended.
        edge_address: address where the stopped node took callers, or empty if it went on.
        exit_status: exit status of the process.
    """

    server: str
    began: float
    ended: float
    edge_address: str = ""
    exit_status: int = 0
