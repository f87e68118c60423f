"""Modes of the fake platform."""

import enum


class Mode(enum.Enum):
    """How the fake platform answers reads; writes work in every mode."""

    OK = "ok"
    """Reads see the current state."""
    DOWN = "down"
    """Every read is answered 503."""
    HANG = "hang"
    """Reads are accepted, but not answered until the mode changes or 60 s have passed."""
    STALE = "stale"
    """Reads see the state at the time at which the mode was set, or an earlier one."""
    BACKWARDS = "backwards"
    """Reads see an earlier state, under a new revision."""
    HALF = "half"
    """Reads see new values of keys that end in `head` and the earlier state of all other keys."""
