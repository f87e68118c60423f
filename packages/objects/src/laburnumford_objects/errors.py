"""Root of the exception tree."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumford_objects import problem


class LaburnumfordError(Exception):
    """Base class of every error that laburnumford raises on purpose.

    Each package derives its own errors from this class and converts errors of
    the layers below it.
    """


class ParameterError(LaburnumfordError, ValueError):
    """A parameter is unknown, has a wrong type or lies outside its range."""


class RegistryError(LaburnumfordError, KeyError):
    """A name is missing from a registry, or registered twice."""

    def __str__(self) -> str:
        """Returns the message without the quotes that KeyError adds."""
        return str(self.args[0])


class JsoncError(LaburnumfordError):
    """A file is not JSON with comments.

    Attributes:
        file: path of the file.
        line: line of the fault, 0 for the file as a whole.
        detail: what was found and what was expected.
    """

    def __init__(self, file: str, line: int, detail: str) -> None:
        super().__init__(f"{file}:{line}: {detail}")
        self.file = file
        self.line = line
        self.detail = detail


class ProblemsError(LaburnumfordError):
    """A file or an object set has problems.

    Attributes:
        problems: all problems that were found.
    """

    def __init__(self, problems: "Sequence[problem.Problem]") -> None:
        super().__init__("\n".join(str(entry) for entry in problems))
        self.problems = tuple(problems)


class SettingsError(ProblemsError):
    """The settings of a node are not valid."""


class DeploymentError(ProblemsError):
    """A deployment is not valid."""
