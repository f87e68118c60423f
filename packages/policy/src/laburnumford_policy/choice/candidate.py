"""Backend server that a chooser may select."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """One backend server of a service, as seen from the choosing node.

    Attributes:
        name: name of the backend server.
        one_way_delay_ms: one-way network delay to its zone, in milliseconds.
        slots: published number of calls that it runs at once.
        local: whether it is the backend server adjacent to the choosing node.
    """

    name: str
    one_way_delay_ms: float = 0.0
    slots: int = 1
    local: bool = False
