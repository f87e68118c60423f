"""Capacity of a server, measured from the work that it completes while requests wait for it.

Load pattern: servers on shared machines that are five times slower for a quarter of the time. They
complete far less than their slots suggest, and how much less depends on the requests that are held
during slowdowns.
"""

import math

_TIME_CONSTANT_S = 4.0
"""Spans several changes of a server's speed and a fraction of a 13 s swing of the demand."""

_MIN_CONTENDED_S = 0.5
"""Weighted seconds with waiting requests below which the measurement is not used."""


class CompletedWork:
    """Measures the completed work per second during the times in which requests wait."""

    def __init__(self) -> None:
        self._contended = False
        self._contended_s = 0.0
        self._work_s = 0.0
        self._updated_s = 0.0

    def observe_queue(self, now: float, *, contended: bool) -> None:
        """Records whether requests wait from now on."""
        self._advance(now)
        self._contended = contended

    def observe_completed(self, now: float, work_s: float) -> None:
        """Records a completed request by its service time at normal speed."""
        self._advance(now)
        if self._contended:
            self._work_s += work_s

    def capacity(self, now: float) -> float:
        """Returns seconds of work at normal speed per second, 0 if it is not known."""
        self._advance(now)
        return self._work_s / self._contended_s if self._contended_s >= _MIN_CONTENDED_S else 0.0

    def _advance(self, now: float) -> None:
        elapsed_s = max(now - self._updated_s, 0.0)
        self._updated_s = now
        decay = math.exp(-elapsed_s / _TIME_CONSTANT_S)
        self._work_s *= decay
        self._contended_s *= decay
        if self._contended:
            self._contended_s += _TIME_CONSTANT_S * (1.0 - decay)
