"""Typed access to the values of log events, which another release may have written."""

from typing import Any

from laburnumford_client import document


def number(event: dict[str, Any], name: str) -> float | None:
    """Returns a number, or None if the field is missing or of another type."""
    value = event.get(name)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value)


def numbers(event: dict[str, Any], name: str, length: int) -> list[float] | None:
    """Returns a list of numbers of a certain length, or None if the field is no such list."""
    value = event.get(name)
    if not isinstance(value, list) or len(value) != length:
        return None
    if any(isinstance(each, bool) or not isinstance(each, int | float) for each in value):
        return None
    return [float(each) for each in value]


def text(event: dict[str, Any], name: str) -> str:
    """Returns a string that is safe on a terminal, empty if the field is missing or null."""
    value = event.get(name)
    return "" if value is None else document.printable(str(value))


def start_s(event: dict[str, Any]) -> float:
    """Returns the Unix time at which the reported work began."""
    return float(event["time"]) - (number(event, "ms") or 0.0) / 1000


def figures(event: dict[str, Any]) -> dict[str, Any]:
    """Returns the fields of an event other than its time, node, name and request id."""
    return {
        name: value
        for name, value in event.items()
        if name not in ("time", "node", "event", "id", "dropped_lines")
    }


def format_figures(event: dict[str, Any]) -> str:
    """Returns the fields of an event as text, ``name=value`` for each."""
    return " ".join(
        f"{document.printable(name)}={document.printable(str(value))}"
        for name, value in figures(event).items()
        if value is not None
    )
