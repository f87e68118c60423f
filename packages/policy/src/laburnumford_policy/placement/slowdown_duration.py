"""Learns how long the slowdowns of a server last.

Load pattern: servers share their machines with other VMs, whose load changes every tenth of a second
on some fleets and every half second on others. How long a slowdown lasts decides whether to wait
for its end, to start despite it or to use another server, and for how long a report is valid.
"""

DEFAULT_S = 0.2
"""Mean duration assumed until slowdowns have been observed."""

_MIN_S = 0.1
_MAX_S = 1.0
"""Range of the mean; what lasts longer is no slowdown by another VM."""

_SAMPLE_WEIGHT = 0.2
"""Weight of one slowdown in the mean."""

_MAX_REPORT_GAP_S = 0.1
"""Longest time between two reports around the begin and the end of a slowdown that is counted."""


class SlowdownDuration:
    """Keeps the mean duration of the slowdowns of one server."""

    def __init__(self) -> None:
        self._mean_s = DEFAULT_S
        self._slow = False
        self._began_s: float | None = None
        self._last_report_s: float | None = None

    @property
    def mean_s(self) -> float:
        """Mean duration in seconds."""
        return self._mean_s

    def observe(self, now: float, *, slow: bool) -> None:
        """Records whether the server reported to be in a slowdown; `now` must not decrease."""
        recent = self._last_report_s is not None and now - self._last_report_s <= _MAX_REPORT_GAP_S
        if slow and not self._slow:
            self._began_s = now if recent else None
        elif not slow and self._slow and self._began_s is not None and recent:
            duration_s = min(max(now - self._began_s, _MIN_S), _MAX_S)
            self._mean_s += _SAMPLE_WEIGHT * (duration_s - self._mean_s)
        self._slow = slow
        self._last_report_s = now
