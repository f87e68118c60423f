"""Checks the invariants P1 to P7 over logs of runs, callers and nodes."""

from laburnumford_testkit.judge import (
    evidence,
    finding,
    invariant,
    judge,
    leave,
    measuring,
    planned_stop,
    rules,
    versions,
)

__all__ = [
    "evidence",
    "finding",
    "invariant",
    "judge",
    "leave",
    "measuring",
    "planned_stop",
    "rules",
    "versions",
]
