"""A trace as a tree."""

import datetime
from collections.abc import Iterable, Iterator

from laburnumford_client import span

_NS_PER_MS = 1e6


class TraceTree:
    """Orders the spans of one trace below their parents.

    A span whose parent is in no file, or that is its own ancestor, starts a tree of its own, so
    that every span is shown once.

    Args:
        spans: spans of the trace, at least one.
    """

    def __init__(self, *, spans: Iterable[span.Span]) -> None:
        # A file that is named twice, or copied, gives the same span twice.
        self._spans_by_id = {entry.span_id: entry for entry in spans}
        ordered = sorted(self._spans_by_id.values(), key=lambda entry: entry.start_ns)
        self._start_ns = ordered[0].start_ns
        self.duration_ns = max(entry.end_ns for entry in ordered) - self._start_ns
        self._children_by_id: dict[str, list[span.Span]] = {}
        self._roots = []
        for entry in ordered:
            if entry.parent_id in self._spans_by_id:
                self._children_by_id.setdefault(str(entry.parent_id), []).append(entry)
            else:
                self._roots.append(entry)
        self._ordered = ordered

    def start(self) -> str:
        """Returns the wall clock time of the first span in UTC."""
        try:
            found = datetime.datetime.fromtimestamp(self._start_ns / 1e9, datetime.UTC)
        except (OverflowError, ValueError, OSError):
            return f"{self._start_ns} ns"
        return found.isoformat(timespec="milliseconds")

    def rows(self) -> Iterator[tuple[int, span.Span]]:
        """Returns depth and span, parents before children and earlier spans first."""
        shown: set[str] = set()
        for root in (*self._roots, *self._ordered):
            waiting = [(0, root)]
            while waiting:
                depth, entry = waiting.pop()
                if entry.span_id in shown:
                    continue
                shown.add(entry.span_id)
                yield depth, entry
                children = self._children_by_id.get(entry.span_id, [])
                waiting.extend((depth + 1, child) for child in reversed(children))

    def lines(self) -> Iterator[str]:
        """Returns the tree as text: start and duration in ms, node, service and result."""
        for depth, entry in self.rows():
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
