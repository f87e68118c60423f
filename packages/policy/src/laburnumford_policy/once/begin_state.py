"""State of a ticket at the start of a request."""

import enum


class BeginState(enum.Enum):
    """State of a ticket at its owner when a request with it arrives.

    The request may be dispatched to a server only if the state is `FRESH`.
    """

    FRESH = "fresh"
    IN_FLIGHT = "in-flight"
    DONE = "done"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    INVALID = "invalid"
