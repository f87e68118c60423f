"""Structured log lines on standard output, bounded and never blocking."""

import contextlib
import os
import time
from typing import Any

import msgspec

from laburnumford_mesh import clock

_BURST_LINES = 400
"""Lines that may come at once; four seconds of the rate."""

_LINES_PER_S = 100.0
"""A node answers some tens of requests a second; more lines than this cost processor time
that requests need."""


class EventLog:
    """Writes one JSON line for each event.

    Lines above the rate, and lines that the reader of the pipe does not take, are dropped;
    the next line that is written says how many.

    Args:
        node: name of the node, on each line.
        descriptor: file descriptor to write to.
    """

    def __init__(self, *, node: str, descriptor: int = 1) -> None:
        self._node = node
        self._descriptor = descriptor
        self._encoder = msgspec.json.Encoder()
        self._allowed = float(_BURST_LINES)
        self._refilled_s = clock.now()
        self._dropped = 0
        self._rest = b""
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, event: str, **values: Any) -> None:
        """Writes an event, if the rate allows it."""
        now = clock.now()
        self._allowed = min(
            self._allowed + (now - self._refilled_s) * _LINES_PER_S, float(_BURST_LINES)
        )
        self._refilled_s = now
        if self._allowed < 1.0:
            self._dropped += 1
            return
        self._allowed -= 1.0
        line = {"time": round(time.time(), 4), "node": self._node, "event": event, **values}
        if self._dropped:
            line["dropped_lines"] = self._dropped
        self._emit(self._encoder.encode(line) + b"\n")

    def _emit(self, line: bytes) -> None:
        pending = self._rest + line
        try:
            written = os.write(self._descriptor, pending)
        except BlockingIOError:
            written = 0
        except OSError:
            # Without a reader there is nobody to tell.
            self._rest = b""
            return
        if written == len(pending):
            self._rest = b""
            self._dropped = 0
        elif written:
            # A line that was cut has to be finished before the next one.
            self._rest = pending[written:]
        else:
            self._dropped += 1
