"""Decodes the spans that nodes write to span files."""

import dataclasses
import json
import re
from typing import Any

from laburnumford_client import document, errors

_TRACE_ID_PATTERN = re.compile(r"[0-9a-f]{32}")
_SPAN_ID_PATTERN = re.compile(r"[0-9a-f]{16}")


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """Span of one hop of a request.

    `start_ns` and `end_ns` are wall clock times in nanoseconds. `parent_id` is None for the root
    span of a trace.
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
        """Decodes a line of a span file.

        Raises:
            SpanError: the line is not a valid span; the message lacks the file and line number.
        """
        try:
            value = json.loads(line)
        except (ValueError, RecursionError) as error:
            raise errors.SpanError(f"found {line[:40]!r}; allowed: a JSON object") from error
        try:
            fields = document.Document(value=value, source="span")
            attributes = fields.section("attributes")
            return cls(
                trace_id=_hex_id(fields, "trace_id", _TRACE_ID_PATTERN),
                span_id=_hex_id(fields, "span_id", _SPAN_ID_PATTERN),
                parent_id=_hex_id(fields, "parent_id", _SPAN_ID_PATTERN)
                if fields.has("parent_id")
                else None,
                name=fields.text("name"),
                node=fields.text("node"),
                start_ns=fields.integer("start_ns"),
                end_ns=fields.integer("end_ns"),
                service=_optional_attribute(attributes, "service"),
                result=_optional_attribute(attributes, "result"),
                reason=_optional_attribute(attributes, "reason"),
            )
        except errors.PageError as error:
            raise errors.SpanError(str(error)) from error

    def to_json(self) -> dict[str, Any]:
        """Returns the span as a JSON-ready document."""
        return dataclasses.asdict(self)


def _hex_id(fields: document.Document, name: str, pattern: re.Pattern[str]) -> str:
    value = fields.text(name)
    if pattern.fullmatch(value) is None:
        raise errors.SpanError(f"span: {name}: found {value[:40]!r}; allowed: {pattern.pattern}")
    return value


def _optional_attribute(attributes: document.Document, name: str) -> str | None:
    key = f"laburnumford.{name}"
    return attributes.text(key) if attributes.has(key) else None
