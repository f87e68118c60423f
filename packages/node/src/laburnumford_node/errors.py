"""Errors of one attempt to have a request answered."""

from laburnumford_node import reason
from laburnumford_objects import errors
from laburnumford_policy import choice


class NodeError(errors.LaburnumfordError):
    """Base class of the errors of the node."""


class AttemptError(NodeError):
    """An attempt that gave no answer to relay.

    Args:
        why: reason for the caller.
        detail: sentence for the caller.
    """

    def __init__(self, why: reason.Reason, detail: str) -> None:
        super().__init__(f"{why.label}: {detail}")
        self.why = why
        self.detail = detail


class RefusedError(AttemptError):
    """Typed refusal: the request did not run and never will by this attempt.

    Args:
        why: reason for the caller.
        detail: sentence for the caller.
        report: load report that came with the refusal, or None.
    """

    def __init__(
        self, why: reason.Reason, detail: str, report: choice.LoadReport | None = None
    ) -> None:
        super().__init__(why, detail)
        self.report = report


class NotWrittenError(AttemptError):
    """Nothing of the request was written."""


class UnknownOutcomeError(AttemptError):
    """The request may have run."""


class CallerError(NodeError):
    """The caller's own message broke while it was relayed."""


class TicketRequiredError(RefusedError):
    """The route takes only requests with a ticket.

    Args:
        detail: sentence for the caller.
        ticket: header field with a fresh ticket.
    """

    def __init__(self, detail: str, ticket: tuple[bytes, bytes]) -> None:
        super().__init__(reason.Reason.TICKET_REQUIRED, detail)
        self.ticket = ticket
