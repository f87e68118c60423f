"""At-most-once execution of requests that must not run twice."""

from laburnumford_policy.once import (
    begin_result,
    begin_state,
    errors,
    kept_answer,
    ticket,
    ticket_store,
)

__all__ = [
    "attempt_guard",
    "begin_result",
    "begin_state",
    "errors",
    "guard_decision",
    "kept_answer",
    "pause_detector",
    "ticket",
    "ticket_store",
]
