"""Errors of at-most-once execution."""

from laburnumford_objects import errors


class TicketError(errors.LaburnumfordError):
    """Base class of the ticket errors."""


class TicketStoreFullError(TicketError):
    """No ticket can be issued until older ones expire."""


class TicketFormatError(TicketError, ValueError):
    """A text does not have the format of a ticket."""
