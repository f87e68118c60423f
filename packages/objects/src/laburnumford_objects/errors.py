"""Root of the exception tree."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumford_objects import problem

_MAX_LISTED = 1000  # a file of 16 MiB can have 450,000 problems


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
        lines = [str(entry) for entry in problems[:_MAX_LISTED]]
        if len(problems) > _MAX_LISTED:
            lines.append(f"and {len(problems) - _MAX_LISTED} more problems")
        super().__init__("\n".join(lines))
        self.problems = tuple(problems)


class SettingsError(ProblemsError):
    """The settings of a node are not valid."""


class DeploymentError(ProblemsError):
    """A deployment is not valid."""


class PolicyError(LaburnumfordError):
    """A policy is missing, or extends itself through other policies."""


class DeltaError(LaburnumfordError):
    """A delta does not fit the object set that it is applied to."""


class BundleError(ProblemsError):
    """An object set cannot be published."""


class VersionError(LaburnumfordError):
    """A published version cannot be applied.

    Attributes:
        object: the published value or the object at fault.
        reason: what was found and what was expected.
    """

    def __init__(self, object: str, reason: str) -> None:
        super().__init__(f"{object}: {reason}")
        self.object = object
        self.reason = reason


class PartialVersionError(VersionError):
    """A part of a version is missing."""


class BrokenVersionError(VersionError):
    """A published value is cut, altered or not in the published format."""


class MismatchError(VersionError):
    """A value does not belong to the version in force, the head or the workspace."""


class LowerVersionError(VersionError):
    """A version is not higher than the version in force."""


class InvalidVersionError(VersionError):
    """The objects of a version contradict each other.

    Attributes:
        problems: all problems that were found.
    """

    def __init__(self, object: str, problems: "Sequence[problem.Problem]") -> None:
        super().__init__(object, "; ".join(str(entry) for entry in problems))
        self.problems = tuple(problems)
