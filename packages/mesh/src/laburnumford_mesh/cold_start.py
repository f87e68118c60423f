"""Published behavior of the servers of a service after their start."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdStart:
    """Bounds the requests to a server that has just started.

    Attributes:
        per_s: requests per second that a cold server sustains, greater than 0.
        duration_s: seconds for which a server is cold after its start.
    """

    per_s: float
    duration_s: float
