"""One span per hop, with W3C trace context and head sampling."""

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
_SAMPLED_FLAG = 0x01
_TRACE_ID_BITS = 128
_SPAN_ID_BITS = 64


@dataclasses.dataclass(slots=True)
class HopSpan:
    """Holds the trace context of one hop and its recorded span, if there is one.

    Only sampled hops are recorded, because recording takes tens of microseconds.

    Attributes:
        trace_id: id of the trace, not 0.
        span_id: id of this hop, sent on as the parent.
        sampled: whether the first hop of the trace decided to record it.
        recorded: span of OpenTelemetry, or None.
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
            _SAMPLED_FLAG if self.sampled else 0,
        )

    def set_attribute(self, name: str, value: str | int | float) -> None:
        """Sets an attribute of the recorded span, if there is one."""
        if self.recorded is not None:
            self.recorded.set_attribute(name, value)

    def end(self) -> None:
        """Ends the recorded span, if there is one."""
        if self.recorded is not None:
            self.recorded.end()


class JsonLinesExporter(trace_export.SpanExporter):
    """Appends one JSON object per span to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file: IO[str] = path.open("a", encoding="utf-8")

    def export(self, spans: Sequence[ReadableSpan]) -> trace_export.SpanExportResult:
        """Writes finished spans."""
        for span in spans:
            self._file.write(json.dumps(_span_document(span)) + "\n")
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
        sample_ratio: share of the traces starting at this node that are recorded.
        generator: source of the ids and of the sampling decisions.
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
            traceparent: value received from the previous hop, or None at the first one.
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
            sampled = bool(int(match[4], 16) & _SAMPLED_FLAG)
        if sampled and self._tracer is not None:
            return self._start_recorded_span(name, trace_id, parent_id)
        span_id = self._generator.getrandbits(_SPAN_ID_BITS) or 1
        return HopSpan(trace_id, span_id, sampled)

    def close(self) -> None:
        """Writes the spans that are not exported yet."""
        if self._provider is not None:
            self._provider.shutdown()

    def _start_recorded_span(self, name: str, trace_id: int, parent_id: int) -> HopSpan:
        if self._tracer is None:
            raise RuntimeError("spans are not recorded: no trace path is set")
        # The first span of a trace has no parent, but OpenTelemetry takes a given trace id only
        # from a parent context. So it is recorded with a remote parent that has a new span id.
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


def _span_document(span: ReadableSpan) -> dict[str, object]:
    context = span.get_span_context()
    attributes = dict(span.attributes or {})
    is_root = attributes.pop("laburnumford.head", False)
    return {
        "trace_id": f"{context.trace_id:032x}" if context else "",
        "span_id": f"{context.span_id:016x}" if context else "",
        "parent_id": None if is_root or span.parent is None else f"{span.parent.span_id:016x}",
        "name": span.name,
        "node": span.resource.attributes.get("node"),
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": attributes,
    }
