"""Errors of the client."""

from laburnumford_objects import errors


class ClientError(errors.LaburnumfordError):
    """Base class of the errors of the client."""


class FileError(ClientError):
    """A file cannot be read or written, or its content is invalid."""


class PageError(ClientError):
    """A node cannot be reached, or one of its operators' pages returned an invalid answer."""


class SpanError(ClientError):
    """A line of a span file is not a valid span."""
