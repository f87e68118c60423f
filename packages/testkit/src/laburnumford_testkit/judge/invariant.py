"""Invariants that the judge checks."""

import enum


class Invariant(enum.Enum):
    """Invariants, by their ids in section 1.2 of the design page."""

    MEASURING_WITHIN_BUDGET = "P1"
    COMPLETE_OWN_ANSWER = "P2"
    REFUSED_NEVER_RAN = "P3"
    AT_MOST_ONCE = "P4"
    NO_WORK_AFTER_LEAVING = "P5"
    NOTHING_INTERRUPTED = "P6"
    VERSION_NEVER_OLDER = "P7"
