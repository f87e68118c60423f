"""Validates JSON documents from other processes."""

import reprlib
from collections.abc import Iterator
from typing import Any

from laburnumford_client import errors

_MAX_INTEGER = 2**63 - 1


class Document:
    """Reads fields of a JSON object and checks their types.

    The sender can be a node of another release, or not a node at all, so the accessors validate
    each field. They raise PageError if the field is missing or its value is invalid.

    Args:
        value: the decoded JSON value.
        source: origin of the document, for error messages.
        path: prefix of the field names in error messages: path of this value in the document.

    Raises:
        PageError: the value is not an object.
    """

    def __init__(self, *, value: Any, source: str, path: str = "") -> None:
        self._source = source
        self._path = path
        if not isinstance(value, dict):
            raise self._error("", value, "an object")
        self._value = value

    def has(self, name: str) -> bool:
        """Returns whether the field exists and is not null."""
        return self._value.get(name) is not None

    def text(self, name: str) -> str:
        """Returns a string, with control characters escaped so that it is safe on a terminal."""
        value = self._value.get(name)
        if not isinstance(value, str):
            raise self._error(name, value, "a string")
        return printable(value)

    def flag(self, name: str) -> bool:
        """Returns a boolean."""
        value = self._value.get(name)
        if not isinstance(value, bool):
            raise self._error(name, value, "true or false")
        return value

    def integer(self, name: str) -> int:
        """Returns an integer from 0 to 2**63 - 1."""
        return self._integer(name, self._value.get(name))

    def number(self, name: str) -> float:
        """Returns a number from 0 to 2**63 - 1 as a float."""
        value: Any = self._value.get(name)
        is_number = not isinstance(value, bool) and isinstance(value, int | float)
        # The range check also rejects infinities and NaN.
        if not is_number or not 0 <= value <= _MAX_INTEGER:
            raise self._error(name, value, "a number from 0 to 2**63 - 1")
        return float(value)

    def optional_number(self, name: str) -> float | None:
        """Returns a number like `number`, or None if the field is null or absent."""
        return self.number(name) if self.has(name) else None

    def texts(self, name: str) -> list[str]:
        """Returns a list of strings."""
        value = self._value.get(name)
        if not isinstance(value, list) or not all(isinstance(entry, str) for entry in value):
            raise self._error(name, value, "a list of strings")
        return [printable(entry) for entry in value]

    def integers_by_name(self, name: str) -> dict[str, int]:
        """Returns the integers of an object by field name, each from 0 to 2**63 - 1."""
        value = self._value.get(name)
        if not isinstance(value, dict):
            raise self._error(name, value, "an object of integers")
        return {
            printable(key): self._integer(f"{name}.{printable(key)}", entry)
            for key, entry in value.items()
        }

    def sections_by_name(self, name: str) -> dict[str, "Document"]:
        """Returns the objects in an object by field name; empty if it is null or absent."""
        if not self.has(name):
            return {}
        outer = self.section(name)
        return {printable(inner): outer.section(inner) for inner in outer.field_names()}

    def section(self, name: str) -> "Document":
        """Returns an object as a document."""
        return Document(
            value=self._value.get(name), source=self._source, path=f"{self._path}{name}."
        )

    def sections(self, name: str) -> list["Document"]:
        """Returns a list of objects as documents."""
        value = self._value.get(name)
        if not isinstance(value, list):
            raise self._error(name, value, "a list of objects")
        return [
            Document(value=entry, source=self._source, path=f"{self._path}{name}.{index}.")
            for index, entry in enumerate(value)
        ]

    def field_names(self) -> Iterator[str]:
        """Returns the field names as received, with control characters not escaped."""
        return iter(self._value)

    def _integer(self, name: str, value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= _MAX_INTEGER:
            raise self._error(name, value, "an integer from 0 to 2**63 - 1")
        return value

    def _error(self, name: str, value: Any, allowed: str) -> errors.PageError:
        location = printable(self._path + name).rstrip(".") or "the document"
        found = "nothing" if value is None else printable(reprlib.repr(value))
        return errors.PageError(f"{self._source}: {location}: found {found}; allowed: {allowed}")


def printable(text: str) -> str:
    """Returns text with control characters and lone surrogates escaped."""
    if text.isprintable():
        return text
    return "".join(
        char if char.isprintable() else char.encode("unicode_escape").decode("ascii")
        for char in text
    )
