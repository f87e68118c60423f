"""A backend server that a chooser may choose."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """One backend server of a service, as seen from the choosing node.

    Attributes:
        name: name of the backend server.
        distance_ms: one-way network delay to its zone, in milliseconds.
        slots: published number of calls it runs at once.
        local: whether it is the choosing node's own backend server.
    """

    name: str
    distance_ms: float = 0.0
    slots: int = 1
    local: bool = False
