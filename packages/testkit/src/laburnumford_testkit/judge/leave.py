"""A backend server that leaves."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leave:
    """The time after which a backend server should get no new work.

    Attributes:
        server: name of the backend server.
        at: time at which it began to leave, seconds of the monotonic clock.
        allowance_s: time within which new work may still arrive.
        until: time at which it came back, or None.
    """

    server: str
    at: float
    allowance_s: float = 3.0
    until: float | None = None
