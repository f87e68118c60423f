"""Describes one invalid value of a settings file or an object set."""

import dataclasses

from laburnumford_objects import errors

_MAX_SHOWN_CHARACTERS = 120


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """Location of an invalid value, the value found and the values allowed.

    Attributes:
        file: path of the file, empty for objects that were not read from a file.
        line: line of the value, 0 if unknown.
        object: kind and name of the object, such as ``route 'lab-files'``.
        field: path of the field inside the object, empty for the object itself.
        found: the value found, as text.
        allowed: the values allowed, as text.
        rule: identifier of the violated rule, such as ``unknown-reference``.
    """

    file: str
    line: int
    object: str
    field: str
    found: str
    allowed: str
    rule: str

    def __str__(self) -> str:
        """Returns the problem as one line of text."""
        location = f"{self.file}:{self.line}: " if self.file else ""
        field = f"field {self.field}: " if self.field else ""
        return f"{location}{self.object}: {field}found {self.found}; allowed: {self.allowed}"


def abbreviated_repr(value: object) -> str:
    """Returns the repr of `value`, cut to a limited length for an error message."""
    text = repr(value)
    return text if len(text) <= _MAX_SHOWN_CHARACTERS else text[:_MAX_SHOWN_CHARACTERS] + "..."


def from_syntax_error(error: errors.JsoncError) -> Problem:
    """Returns the problem for a file that cannot be read or parsed."""
    found, _, allowed = error.detail.partition("; expected ")
    return Problem(
        file=error.file,
        line=error.line,
        object="file",
        field="",
        found=found.removeprefix("found "),
        allowed=allowed or "a readable file in UTF-8",
        rule="syntax",
    )
