"""Outcome of an admission decision."""

import enum


class Outcome(enum.Enum):
    """What happens to a request at admission."""

    RUN = "run"
    QUEUED = "queued"
    REFUSED = "refused"
