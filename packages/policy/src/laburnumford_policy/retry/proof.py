"""What is known about a failed attempt."""

import enum


class Proof(enum.Enum):
    """Whether a failed attempt can have run."""

    NOT_WRITTEN = "not-written"
    REFUSED = "refused"
    UNKNOWN = "unknown"
