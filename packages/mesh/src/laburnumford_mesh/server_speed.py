"""Latest reported speed of the backend server on the same VM."""

import math

from laburnumford_mesh import clock
from laburnumford_policy.placement import baseline_slowness, slowdown_duration, start_policy

_MIN_REPORTED_CHANGE = 0.3
"""Relative change of the slowness that other nodes are told at once."""

_MAX_REPORTED_AGE_S = 3600.0
"""Age in load reports of a server that has not reported its speed yet."""


class ServerSpeed:
    """Keeps the latest slowness that the server reported and when a slowdown began.

    Attributes:
        slowness: service time relative to normal speed.
    """

    def __init__(self) -> None:
        self.slowness = 1.0
        self._observed_s = -math.inf
        self._baseline = baseline_slowness.BaselineSlowness()
        self._slowdown_duration = slowdown_duration.SlowdownDuration()
        self._last_normal_s = clock.now()

    @property
    def baseline(self) -> float:
        """Slowness of the server without short slowdowns."""
        return self._baseline.value()

    @property
    def slow(self) -> bool:
        """Whether the server was in a slowdown at its last report."""
        return self.slowness > start_policy.SLOWNESS_THRESHOLD * self.baseline

    def expect_cold(self) -> None:
        """Takes into account that another server has started at the address and is cold."""
        self._baseline.expect_cold()

    def age_s(self, now: float) -> float:
        """Returns the age of the latest report in seconds, at most one hour."""
        return min(now - self._observed_s, _MAX_REPORTED_AGE_S)

    def observe(self, slowness: float) -> bool:
        """Stores a reported slowness; returns whether it changed enough to tell other nodes."""
        changed = abs(slowness - self.slowness) > _MIN_REPORTED_CHANGE * self.slowness
        self.slowness = slowness
        self._observed_s = clock.now()
        self._baseline.observe(self._observed_s, slowness)
        self._slowdown_duration.observe(self._observed_s, slow=self.slow)
        if not self.slow:
            self._last_normal_s = self._observed_s
        return changed

    def current(self) -> start_policy.Speed:
        """Returns the latest speed, with the duration of a slowdown."""
        slow_for_s = self._observed_s - self._last_normal_s if self.slow else 0.0
        return start_policy.Speed(
            slowness=self.slowness,
            slow_for_s=max(slow_for_s, 0.0),
            baseline=self.baseline,
            mean_slowdown_s=self._slowdown_duration.mean_s,
        )
