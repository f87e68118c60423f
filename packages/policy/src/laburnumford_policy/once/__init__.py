"""At-most-once execution."""

from laburnumford_policy.once import (
    begin_result,
    begin_state,
    errors,
    kept_answer,
    ticket,
    ticket_book,
)

__all__ = [
    "attempt_guard",
    "begin_result",
    "begin_state",
    "errors",
    "guard_verdict",
    "kept_answer",
    "pause_detector",
    "ticket",
    "ticket_book",
]
