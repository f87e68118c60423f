"""Result of a call to a backend server."""

import enum


class Result(enum.Enum):
    """How a call ended, as the choosing node saw it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"
