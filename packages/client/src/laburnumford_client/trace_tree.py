"""Arranges the spans of a trace as a tree."""

import datetime
from collections.abc import Iterable, Iterator

from laburnumford_client import span

_NS_PER_MS = 1e6


class TraceTree:
    """Arranges the spans of one trace below their parents.

    A span whose parent is missing from the files is a further root. Spans in or below a parent
    cycle, which has no root, come last in the order of their start. Every span is shown exactly
    once.

    Args:
        spans: spans of the trace, at least one.
    """

    def __init__(self, *, spans: Iterable[span.Span]) -> None:
        # The same span occurs twice if a file is passed twice or was copied.
        self._spans_by_id = {entry.span_id: entry for entry in spans}
        spans_by_start = sorted(self._spans_by_id.values(), key=lambda entry: entry.start_ns)
        self._start_ns = spans_by_start[0].start_ns
        self.duration_ns = max(entry.end_ns for entry in spans_by_start) - self._start_ns
        self._children_by_id: dict[str, list[span.Span]] = {}
        self._roots = []
        for entry in spans_by_start:
            if entry.parent_id in self._spans_by_id:
                self._children_by_id.setdefault(str(entry.parent_id), []).append(entry)
            else:
                self._roots.append(entry)
        self._spans_by_start = spans_by_start

    def start_time(self) -> str:
        """Returns the start of the first span as wall clock time in UTC."""
        try:
            found = datetime.datetime.fromtimestamp(self._start_ns / 1e9, datetime.UTC)
        except (OverflowError, ValueError, OSError):
            return f"{self._start_ns} ns"
        return found.isoformat(timespec="milliseconds")

    def walk(self) -> Iterator[tuple[int, span.Span]]:
        """Yields depth and span, parents before children and earlier spans first."""
        shown: set[str] = set()
        # Spans in or below a parent cycle have no root, so every span is also tried as one.
        for root in (*self._roots, *self._spans_by_start):
            pending = [(0, root)]
            while pending:
                depth, entry = pending.pop()
                if entry.span_id in shown:
                    continue
                shown.add(entry.span_id)
                yield depth, entry
                children = self._children_by_id.get(entry.span_id, [])
                pending.extend((depth + 1, child) for child in reversed(children))

    def lines(self) -> Iterator[str]:
        """Yields one line of text per span: start and duration in ms, name, node and result."""
        for depth, entry in self.walk():
            start_ms = (entry.start_ns - self._start_ns) / _NS_PER_MS
            duration_ms = (entry.end_ns - entry.start_ns) / _NS_PER_MS
            parts = [f"{'  ' * depth}{entry.name} {entry.node}"]
            if entry.service:
                parts.append(f"service {entry.service}")
            if entry.result:
                parts.append(entry.result)
            if entry.reason:
                parts.append(f"reason {entry.reason}")
            if entry.parent_id is not None and entry.parent_id not in self._spans_by_id:
                parts.append(f"parent {entry.parent_id} is in no file")
            yield f"  {start_ms:+10.3f} ms {duration_ms:10.3f} ms  {', '.join(parts)}"
