"""Errors of the attempts that a node makes to get a request answered."""

from laburnumford_node import reason
from laburnumford_objects import errors
from laburnumford_policy import choice


class NodeError(errors.LaburnumfordError):
    """Base class of the errors of the node."""


class AttemptError(NodeError):
    """An attempt ended without an answer that can be relayed.

    Args:
        reason: reason for the caller.
        detail: sentence for the caller.
    """

    def __init__(self, reason: reason.Reason, detail: str) -> None:
        super().__init__(f"{reason.label}: {detail}")
        self.reason = reason
        self.detail = detail


class RefusedError(AttemptError):
    """The request was refused: it did not run and this attempt will never run it.

    Args:
        reason: reason for the caller.
        detail: sentence for the caller.
        report: load report that came with the refusal, or None.
    """

    def __init__(
        self, reason: reason.Reason, detail: str, report: choice.LoadReport | None = None
    ) -> None:
        super().__init__(reason, detail)
        self.report = report


class NotWrittenError(AttemptError):
    """Nothing of the request was written."""


class UnknownOutcomeError(AttemptError):
    """The request may have run, but there is no complete answer to relay."""


class CallerError(NodeError):
    """The body from the caller ended early or was invalid while it was forwarded."""


class TicketRequiredError(RefusedError):
    """The route takes only requests with a ticket.

    Args:
        detail: sentence for the caller.
        ticket: header field with a new ticket.
    """

    def __init__(self, detail: str, ticket: tuple[bytes, bytes]) -> None:
        super().__init__(reason.Reason.TICKET_REQUIRED, detail)
        self.ticket = ticket
