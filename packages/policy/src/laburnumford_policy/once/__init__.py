"""At-most-once execution."""

from laburnumford_policy.once import (
    begin_result,
    begin_state,
    errors,
    kept_answer,
    ticket,
    ticket_book,
)

__all__ = ["begin_result", "begin_state", "errors", "kept_answer", "ticket", "ticket_book"]
