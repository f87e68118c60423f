"""State of a ticket at the begin of a request."""

import enum


class BeginState(enum.Enum):
    """What the owner knows about a ticket when a request with it arrives.

    Only `FRESH` allows the request to be handed to a server.
    """

    FRESH = "fresh"
    IN_FLIGHT = "in-flight"
    DONE = "done"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    INVALID = "invalid"
