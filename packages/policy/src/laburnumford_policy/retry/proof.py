"""Proof that a failed attempt did not run."""

import enum


class Proof(enum.Enum):
    """Proof that a failed attempt did not run; with `UNKNOWN` it may have run."""

    NOT_WRITTEN = "not-written"
    REFUSED = "refused"
    UNKNOWN = "unknown"
