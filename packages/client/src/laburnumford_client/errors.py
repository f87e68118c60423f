"""Errors of the client."""

from laburnumford_objects import errors


class ClientError(errors.LaburnumfordError):
    """A command failed."""


class FileError(ClientError):
    """A file cannot be read or written, or does not have the expected content."""
