"""Errors of the test kit."""

from laburnumford_objects import errors


class TestkitError(errors.LaburnumfordError):
    """Base class of the errors of the test kit."""

    __test__ = False


class ProcessError(TestkitError):
    """A process did not start, did not become ready or did not end in time."""


class ConnectionBrokenError(TestkitError):
    """A connection of a caller failed, or ended before the answer was complete."""


class ScenarioError(TestkitError):
    """A scenario file has an error.

    Args:
        file: name of the file.
        line: line of the error, from 1.
        message: the text that was found and the text that was expected.
    """

    def __init__(self, file: str, line: int, message: str) -> None:
        super().__init__(f"{file}:{line}: {message}")
        self.file = file
        self.line = line
