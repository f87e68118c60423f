"""One span of a trace."""

import dataclasses
import json
import re
from typing import Any

from laburnumford_client import document, errors

_TRACE_ID = re.compile(r"[0-9a-f]{32}")
_SPAN_ID = re.compile(r"[0-9a-f]{16}")


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """Span of one hop.

    `start_ns` is wall clock time in nanoseconds. `parent_id` is None at the head of the trace.
    """

    trace_id: str
    span_id: str
    parent_id: str | None
    name: str
    node: str
    start_ns: int
    end_ns: int
    service: str | None
    result: str | None
    reason: str | None

    @classmethod
    def decode(cls, line: bytes) -> "Span":
        """Returns the span in a line of a span file.

        Raises:
            SpanError: the line is not a span; the message does not name file and line.
        """
        try:
            value = json.loads(line)
        except (ValueError, RecursionError) as error:
            raise errors.SpanError(f"found {line[:40]!r}; allowed: a JSON object") from error
        try:
            found = document.Document(value=value, source="span")
            attributes = found.section("attributes")
            return cls(
                trace_id=_id(found, "trace_id", _TRACE_ID),
                span_id=_id(found, "span_id", _SPAN_ID),
                parent_id=_id(found, "parent_id", _SPAN_ID) if found.has("parent_id") else None,
                name=found.text("name"),
                node=found.text("node"),
                start_ns=found.integer("start_ns"),
                end_ns=found.integer("end_ns"),
                service=_attribute(attributes, "service"),
                result=_attribute(attributes, "result"),
                reason=_attribute(attributes, "reason"),
            )
        except errors.PageError as error:
            raise errors.SpanError(str(error)) from error

    def to_json(self) -> dict[str, Any]:
        """Returns the span as a JSON-ready document."""
        return dataclasses.asdict(self)


def _id(found: document.Document, name: str, pattern: re.Pattern[str]) -> str:
    value = found.text(name)
    if pattern.fullmatch(value) is None:
        raise errors.SpanError(f"span: {name}: found {value[:40]!r}; allowed: {pattern.pattern}")
    return value


def _attribute(attributes: document.Document, name: str) -> str | None:
    key = f"laburnumford.{name}"
    return attributes.text(key) if attributes.has(key) else None
