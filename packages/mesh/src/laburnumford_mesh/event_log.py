"""Structured log on standard output that is rate limited and never blocks."""

import contextlib
import os
import time
import traceback
from typing import Any

import msgspec

from laburnumford_mesh import clock, excerpt

_MAX_BURST_LINES = 400
"""Capacity of the token bucket; four seconds of the rate."""

_MAX_LINES_PER_S = 100.0
"""Refill rate of the token bucket. A node answers some tens of requests a second; more lines than
this take processor time from requests."""

_MAX_TRACEBACK_CHARACTERS = 2000
"""The end of a traceback is kept, which names the error and the function that raised it."""


class EventLog:
    """Writes one JSON line for each event.

    Lines above the rate, and lines that do not fit into a full pipe, are dropped. The next
    line that is written carries their number as ``dropped_lines``.

    Args:
        node: name of the node, part of each line.
        descriptor: file descriptor to write to.
    """

    def __init__(self, *, node: str, descriptor: int = 1) -> None:
        self._node = node
        self._descriptor = descriptor
        self._encoder = msgspec.json.Encoder()
        self._tokens = float(_MAX_BURST_LINES)
        self._last_refill_s = clock.now()
        self._dropped_count = 0
        self._unwritten = b""
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, event: str, **values: Any) -> None:
        """Writes an event with its values, or drops it above the rate."""
        now = clock.now()
        self._tokens = min(
            self._tokens + (now - self._last_refill_s) * _MAX_LINES_PER_S, float(_MAX_BURST_LINES)
        )
        self._last_refill_s = now
        if self._tokens < 1.0:
            self._dropped_count += 1
            return
        self._tokens -= 1.0
        line = {"time": round(time.time(), 4), "node": self._node, "event": event, **values}
        if self._dropped_count:
            line["dropped_lines"] = self._dropped_count
        self._emit(self._encode(line) + b"\n")

    def write_failure(self, event: str, error: BaseException, **values: Any) -> None:
        """Writes an event with an unexpected error and the end of its traceback."""
        text = "".join(traceback.format_exception(error))
        self.write(
            event,
            **values,
            error=excerpt.excerpt(error),
            traceback=text[-_MAX_TRACEBACK_CHARACTERS:],
        )

    def _encode(self, line: dict[str, Any]) -> bytes:
        try:
            return self._encoder.encode(line)
        except (msgspec.MsgspecError, TypeError, ValueError, OverflowError, RecursionError):
            # Values from outside may hold what JSON does not, for example a lone surrogate.
            return self._encoder.encode({key: excerpt.excerpt(line[key]) for key in line})

    def _emit(self, line: bytes) -> None:
        pending = self._unwritten + line
        try:
            written = os.write(self._descriptor, pending)
        except BlockingIOError:
            written = 0
        except OSError:
            # The pipe has no reader.
            self._unwritten = b""
            return
        if written == len(pending):
            self._unwritten = b""
            self._dropped_count = 0
        elif written:
            # A partially written line is completed before the next one.
            self._unwritten = pending[written:]
        else:
            self._dropped_count += 1
