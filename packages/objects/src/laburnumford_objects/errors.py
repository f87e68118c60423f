"""Base class of all errors of laburnumford, and the errors of this package."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from laburnumford_objects import problem

_MAX_LISTED_PROBLEMS = 1000  # a file of 16 MiB can have 450,000 problems


class LaburnumfordError(Exception):
    """Base class of all errors that laburnumford raises.

    Each package derives its own errors from this class and converts the errors of the libraries
    and packages that it uses.
    """


class ParameterError(LaburnumfordError, ValueError):
    """A parameter is unknown, has a wrong type or is out of range."""


class RegistryError(LaburnumfordError, KeyError):
    """A name is missing from a registry, or registered twice."""

    def __str__(self) -> str:
        """Returns the message without the quotes that KeyError adds."""
        return str(self.args[0])


class JsoncError(LaburnumfordError):
    """A file cannot be read, or is not valid JSON with comments.

    Attributes:
        file: path of the file.
        line: line of the error, 0 for the file as a whole.
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
        lines = [str(entry) for entry in problems[:_MAX_LISTED_PROBLEMS]]
        if len(problems) > _MAX_LISTED_PROBLEMS:
            lines.append(f"and {len(problems) - _MAX_LISTED_PROBLEMS} more problems")
        super().__init__("\n".join(lines))
        self.problems = tuple(problems)


class SettingsError(ProblemsError):
    """The settings of a node are not valid."""


class DeploymentError(ProblemsError):
    """A deployment is not valid."""


class PolicyError(LaburnumfordError):
    """A policy or the service of a route is missing, or a policy extends itself."""


class DeltaError(LaburnumfordError):
    """A delta is not valid, or does not fit the object set that it is applied to."""


class BundleError(ProblemsError):
    """An object set cannot be published because of its problems or its version."""


class VersionError(LaburnumfordError):
    """A published version cannot be applied.

    Attributes:
        object: key of the published value, without the prefix of the workspace.
        reason: what was found and what was expected.
    """

    def __init__(self, object: str, reason: str) -> None:
        super().__init__(f"{object}: {reason}")
        self.object = object
        self.reason = reason


class PartialVersionError(VersionError):
    """A published value of a version is missing."""


class CorruptVersionError(VersionError):
    """A published value is truncated, altered or not in the published format."""


class MismatchError(VersionError):
    """A published value does not match the version in force, the head or the workspace."""


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
