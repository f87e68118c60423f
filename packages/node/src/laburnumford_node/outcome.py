"""What an answer that the system makes itself says about the request."""

import enum


class Outcome(enum.Enum):
    """Value of the `laburnumford-outcome` header."""

    REFUSED = b"refused"
    """The request did not run and never will."""
    UNKNOWN = b"unknown"
    """The request may have run."""
