"""Slowness to which a server returns after a slowdown.

Load pattern: a fleet that restarts cold under full load. A cold server is slower than normal for
seconds, and on top of that other VMs on its machine slow it down for a tenth of a second now and
then. Against normal speed a cold server looks like one long slowdown: requests then start in the
worst moments, because the slowdown seems to last, and the queue admits more than can be answered in
time. Against the baseline only the short slowdowns are visible.
"""

import collections

COLD_SLOWNESS = 2.0
"""Slowness assumed for a server that has just started until its speed has been observed."""

_WINDOW_S = 2.5
"""Slowdowns by other VMs rarely last as long."""

_MIN_COVERED_S = 2.0
"""Time that the reports must cover before they raise the baseline."""

_MIN_REPORTS = 4
"""Reports within the window that raise the baseline."""


class BaselineSlowness:
    """Keeps the lowest slowness that a server reported lately.

    Reports lower the baseline at once and raise it only after they have covered most of the window,
    so that the first reports of a slowdown do not count as the new normal.
    """

    def __init__(self) -> None:
        self._reports: collections.deque[tuple[float, float]] = collections.deque()
        self._baseline = 1.0

    def expect_cold(self) -> None:
        """Raises the baseline for a server that has just started."""
        self._reports.clear()
        self._baseline = max(self._baseline, COLD_SLOWNESS)

    def observe(self, now: float, slowness: float) -> None:
        """Records a reported slowness; `now` must not decrease."""
        reports = self._reports
        reports.append((now, slowness))
        while now - reports[0][0] > _WINDOW_S:
            reports.popleft()
        lowest = min(each for _, each in reports)
        covered = now - reports[0][0] >= _MIN_COVERED_S and len(reports) >= _MIN_REPORTS
        if covered or lowest < self._baseline:
            self._baseline = lowest

    def value(self) -> float:
        """Returns the slowness without short slowdowns, at least 1."""
        return max(self._baseline, 1.0)
