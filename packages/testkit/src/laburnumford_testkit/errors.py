"""Errors of the test kit."""

from laburnumford_objects import errors


class TestkitError(errors.LaburnumfordError):
    """Base class of the errors of the test kit."""

    __test__ = False


class ProcessError(TestkitError):
    """A process did not start, did not get ready or did not end in time."""


class ConnectionBrokenError(TestkitError):
    """A connection of a caller ended before the answer was whole."""


class ScenarioError(TestkitError):
    """A scenario file has an error.

    Args:
        file: name of the file.
        line: line of the error, from 1.
        message: what was found and what was expected.
    """

    def __init__(self, file: str, line: int, message: str) -> None:
        super().__init__(f"{file}:{line}: {message}")
        self.file = file
        self.line = line
