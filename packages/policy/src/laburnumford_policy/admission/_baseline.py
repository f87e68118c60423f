"""Short-term and minimum-like long-term service time."""

import math

# Single service times scatter too much to compare with a threshold.
_SHORT_WEIGHT = 0.2
# A server that stays slow for minutes has a new normal service time.
_RISE_TIME_S = 120.0
_FALL_WEIGHT = 0.1


class Baseline:
    """Tracks the service time of a server over a short and a long term.

    The long-term value follows a decrease within tens of samples and an increase only
    within minutes.
    """

    def __init__(self) -> None:
        self.short_s = 0.0
        self.long_s = 0.0
        self._updated = 0.0

    def observe(self, now: float, service_time_s: float) -> None:
        """Takes one service time in seconds."""
        if self.long_s == 0.0:
            self.short_s = self.long_s = service_time_s
        self.short_s += _SHORT_WEIGHT * (service_time_s - self.short_s)
        if self.short_s < self.long_s:
            weight = _FALL_WEIGHT
        else:
            weight = -math.expm1(-max(0.0, now - self._updated) / _RISE_TIME_S)
        self.long_s += weight * (self.short_s - self.long_s)
        self._updated = now

    @property
    def ratio(self) -> float:
        """Long-term by short-term service time, 1.0 without observations."""
        return self.long_s / self.short_s if self.short_s > 0.0 else 1.0
