"""Outcomes of an admission decision."""

import enum


class Outcome(enum.Enum):
    """Whether a request runs now, waits in the queue or is refused."""

    RUN = "run"
    QUEUED = "queued"
    REFUSED = "refused"
