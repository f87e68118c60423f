"""Errors of the client."""

from laburnumford_objects import errors


class ClientError(errors.LaburnumfordError):
    """A command failed."""


class FileError(ClientError):
    """A file cannot be read or written, or does not have the expected content."""


class PageError(ClientError):
    """A node cannot be reached, or its operators' pages gave a wrong answer."""


class SpanError(ClientError):
    """A line is not a span."""
