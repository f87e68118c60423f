"""Outcome of a request, as stated in the answers that a node generates itself."""

import enum


class Outcome(enum.Enum):
    """States whether the request can have run: value of the `laburnumford-outcome` header."""

    REFUSED = b"refused"
    """The request did not run and never will."""
    UNKNOWN = b"unknown"
    """The request may have run."""
