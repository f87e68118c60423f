"""A backend server that leaves."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leave:
    """A period in which a backend server leaves and must get no new work after an allowance.

    Attributes:
        server: name of the backend server.
        began: time at which it began to leave, seconds of the monotonic clock.
        allowance_s: seconds from `began` within which new work may still start.
        until: time at which it takes new work again, or None.
    """

    server: str
    began: float
    allowance_s: float = 3.0
    until: float | None = None
