"""Errors of the test kit."""

from laburnumford_objects import errors


class TestkitError(errors.LaburnumfordError):
    """Base class of the errors of the test kit."""

    __test__ = False


class ProcessError(TestkitError):
    """A process did not start, did not get ready or did not end in time."""


class ConnectionBrokenError(TestkitError):
    """A connection of a caller ended before the answer was whole."""
