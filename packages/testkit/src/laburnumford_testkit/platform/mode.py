"""How the platform stand-in behaves."""

import enum


class Mode(enum.Enum):
    """Behaviour of the reading side; publishing always works."""

    OK = "ok"
    DOWN = "down"
    """Every read is answered 503."""
    HANG = "hang"
    """Reads are accepted and not answered until the mode changes."""
    STALE = "stale"
    """Reads see the state at the time when the mode was set."""
    BACKWARDS = "backwards"
    """Reads see an earlier state, under a new revision."""
    HALF = "half"
    """Reads see new values of keys that end in `head` and the earlier state of all other keys."""
