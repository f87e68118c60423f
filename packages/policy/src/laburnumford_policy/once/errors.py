"""Errors of at-most-once execution."""

from laburnumford_objects import errors


class TicketError(errors.LaburnumfordError):
    """Base class of the errors about tickets."""


class TicketBookFullError(TicketError):
    """No ticket can be issued until older ones expire."""


class TicketFormatError(TicketError, ValueError):
    """A text is not a ticket."""
