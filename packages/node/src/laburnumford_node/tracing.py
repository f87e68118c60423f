"""A span per hop, with W3C trace context and sampling at the head of the trace."""

import dataclasses
import json
import pathlib
import random
import re
import time
from collections.abc import Sequence
from typing import IO

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace import export as trace_export

_TRACEPARENT = re.compile(rb"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")
_SAMPLED = 0x01
_TRACE_ID_BITS = 128
_SPAN_ID_BITS = 64


@dataclasses.dataclass(slots=True)
class HopSpan:
    """The span of one hop.

    Only a sampled hop has a recorded span: recording costs tens of microseconds.

    Attributes:
        trace_id: id of the trace, never 0.
        span_id: id of this hop, sent on as the parent.
        sampled: whether the head of the trace chose to record it.
        recorded: span of the tracing library, or None.
    """

    trace_id: int
    span_id: int
    sampled: bool
    recorded: trace.Span | None = None

    def traceparent(self) -> bytes:
        """Returns the `traceparent` value for the next hop."""
        return b"00-%032x-%016x-%02x" % (
            self.trace_id,
            self.span_id,
            _SAMPLED if self.sampled else 0,
        )

    def set(self, name: str, value: str | int | float) -> None:
        """Sets an attribute of the recorded span."""
        if self.recorded is not None:
            self.recorded.set_attribute(name, value)

    def end(self) -> None:
        """Ends the recorded span."""
        if self.recorded is not None:
            self.recorded.end()


class JsonLinesExporter(trace_export.SpanExporter):
    """Writes one JSON object per span to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file: IO[str] = path.open("a", encoding="utf-8")

    def export(self, spans: Sequence[ReadableSpan]) -> trace_export.SpanExportResult:
        """Writes finished spans."""
        for span in spans:
            self._file.write(json.dumps(_document(span)) + "\n")
        self._file.flush()
        return trace_export.SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Closes the file."""
        self._file.close()


class Tracer:
    """Starts the spans of one node.

    Args:
        node: name of the node.
        path: file for recorded spans, or None to record none.
        sample_ratio: share of traces that start at this node and are recorded.
        generator: source of ids and of the sampling choice.
    """

    def __init__(
        self, *, node: str, path: str | None, sample_ratio: float, generator: random.Random
    ) -> None:
        self._generator = generator
        self._sample_ratio = sample_ratio
        self._provider: TracerProvider | None = None
        self._tracer: trace.Tracer | None = None
        if path is not None:
            self._provider = TracerProvider(
                resource=Resource.create({"service.name": "laburnumfordd", "node": node})
            )
            self._provider.add_span_processor(
                trace_export.BatchSpanProcessor(JsonLinesExporter(pathlib.Path(path)))
            )
            self._tracer = self._provider.get_tracer("laburnumford")

    def start(self, name: str, traceparent: bytes | None) -> HopSpan:
        """Starts the span of one hop.

        Args:
            name: name of the span, such as ``"edge"``.
            traceparent: value received from the previous hop, or None at the head.
                An invalid value starts a new trace.
        """
        match = _TRACEPARENT.fullmatch(traceparent) if traceparent is not None else None
        if match is None or int(match[2], 16) == 0 or int(match[3], 16) == 0:
            trace_id = self._generator.getrandbits(_TRACE_ID_BITS) or 1
            sampled = self._sample_ratio > 0 and self._generator.random() < self._sample_ratio
            parent_id = 0
        else:
            trace_id = int(match[2], 16)
            parent_id = int(match[3], 16)
            sampled = bool(int(match[4], 16) & _SAMPLED)
        if sampled and self._tracer is not None:
            return self._record(name, trace_id, parent_id)
        span_id = self._generator.getrandbits(_SPAN_ID_BITS) or 1
        return HopSpan(trace_id, span_id, sampled)

    def close(self) -> None:
        """Writes the spans that are not exported yet."""
        if self._provider is not None:
            self._provider.shutdown()

    def _record(self, name: str, trace_id: int, parent_id: int) -> HopSpan:
        if self._tracer is None:
            raise RuntimeError("recording is off")
        # A head span has no parent. The library draws its trace id from a parent
        # context only, so the head is recorded below a remote parent of its own id.
        parent = trace.SpanContext(
            trace_id,
            parent_id or (self._generator.getrandbits(_SPAN_ID_BITS) or 1),
            is_remote=True,
            trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED),
        )
        context = trace.set_span_in_context(trace.NonRecordingSpan(parent))
        recorded = self._tracer.start_span(name, context=context, start_time=time.time_ns())
        if not parent_id:
            recorded.set_attribute("laburnumford.head", True)
        return HopSpan(trace_id, recorded.get_span_context().span_id, True, recorded)


def _document(span: ReadableSpan) -> dict[str, object]:
    context = span.get_span_context()
    attributes = dict(span.attributes or {})
    head = attributes.pop("laburnumford.head", False)
    return {
        "trace_id": f"{context.trace_id:032x}" if context else "",
        "span_id": f"{context.span_id:016x}" if context else "",
        "parent_id": None if head or span.parent is None else f"{span.parent.span_id:016x}",
        "name": span.name,
        "node": span.resource.attributes.get("node"),
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": attributes,
    }
