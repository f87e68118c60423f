"""Scenarios: files that describe a deployment, its loads, faults and expected results."""

from laburnumford_testkit.scenario import (
    actions,
    event,
    expectation,
    known_red,
    measures,
    outcome,
    play,
    reader,
    runner,
    script,
    timed_load,
)

__all__ = [
    "actions",
    "event",
    "expectation",
    "known_red",
    "measures",
    "outcome",
    "play",
    "reader",
    "runner",
    "script",
    "timed_load",
]
