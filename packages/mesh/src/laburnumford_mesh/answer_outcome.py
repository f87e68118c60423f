"""What an answer of a backend server proves about the request that it answers."""

import enum
from collections.abc import Iterable

from laburnumford_mesh import wire_names
from laburnumford_node.http import fields

_MISDIRECTED_STATUS = 421
"""Given by a server that is not the target of the request, and by no other."""

_NOT_RUN_STATUSES = frozenset({408, 429, 503})
"""Statuses by which callers conclude that a request has not run and never will. A server may also
give them for a request that it has run, so they prove nothing without its mark."""


class Outcome(enum.Enum):
    """What is known about a request after an answer; the value is the reason in logs."""

    ANSWERED = "answered"
    """The answer is the server's own and goes to the caller unchanged."""
    MISDIRECTED = "misdirected"
    """The request has not run: another server got it."""
    NOT_RUN = "server-refused"
    """The request has not run: the server says so."""
    UNSIGNED = "answer-unsigned"
    """The request may have run; the success is not signed by a server."""
    UNPROVED = "refusal-unproved"
    """The request may have run, and the status would tell the caller that it has not."""

    @property
    def proves_not_run(self) -> bool:
        """Whether the request can be sent to another server in any case."""
        return self in (Outcome.MISDIRECTED, Outcome.NOT_RUN)


def classify(status: int, head: Iterable[fields.Field], names: wire_names.WireNames) -> Outcome:
    """Returns what an answer proves.

    Args:
        status: status code.
        head: header fields, names in lower case.
        names: header field names.
    """
    if status == _MISDIRECTED_STATUS:
        return Outcome.MISDIRECTED
    present = {name for name, _ in head}
    if names.not_run in present:
        return Outcome.NOT_RUN
    if status < 300 and names.signature not in present:
        return Outcome.UNSIGNED
    if status in _NOT_RUN_STATUSES:
        return Outcome.UNPROVED
    return Outcome.ANSWERED
