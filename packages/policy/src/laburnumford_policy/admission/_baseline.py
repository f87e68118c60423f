"""Short-term and minimum-like long-term service time."""

import math

# With a weight of 0.2 the scatter of single service times (standard deviation 0.5 of the
# mean) already passed for a slowdown, and the limit of a healthy server at twice its
# capacity fell to 2 of 12.
_SHORT_WEIGHT = 0.05
_FALL_WEIGHT = 0.01
# A server that stays slow for minutes has a new normal service time.
_RISE_TIME_S = 120.0
# A baseline that starts from one short request stays too low for minutes.
_WARM_UP_SAMPLES = 100


class _Kind:
    """Service times of one kind of request."""

    def __init__(self) -> None:
        self.short_s = 0.0
        self.long_s = 0.0
        self._count = 0
        self._updated = 0.0

    @property
    def warm(self) -> bool:
        return self._count > _WARM_UP_SAMPLES

    def observe(self, now: float, service_time_s: float, slowdown: float) -> None:
        self._count += 1
        self.short_s += max(_SHORT_WEIGHT, 1.0 / self._count) * (service_time_s - self.short_s)
        if not self.warm:
            self.long_s += (service_time_s / slowdown - self.long_s) / self._count
        else:
            self.long_s += self._long_weight(now) * (self.short_s - self.long_s)
        self._updated = now

    def _long_weight(self, now: float) -> float:
        if self.short_s < self.long_s:
            return _FALL_WEIGHT
        return -math.expm1(-max(0.0, now - self._updated) / _RISE_TIME_S)


class Baseline:
    """Compares the service time of a server over a short and a long term.

    The long-term value follows a decrease within hundreds of samples and an increase only
    within minutes. There is one for each priority, so that a burst of uploads does not
    look like a slow server.
    """

    def __init__(self) -> None:
        self._kinds_by_priority: dict[str, _Kind] = {}
        self._slowdown = 1.0
        self._warm = False
        self.short_s = 0.0

    def observe(self, now: float, service_time_s: float, priority: str) -> None:
        """Takes one service time in seconds."""
        kind = self._kinds_by_priority.setdefault(priority, _Kind())
        # A priority that is new while the server is slow gets its baseline from the
        # slowdown of the others, and does not take part in it until then.
        kind.observe(now, service_time_s, max(1.0, self._slowdown) if self._warm else 1.0)
        self._warm = self._warm or kind.warm
        if kind.long_s > 0.0 and (kind.warm or not self._warm):
            slowdown = service_time_s / kind.long_s
            self._slowdown += _SHORT_WEIGHT * (slowdown - self._slowdown)
        self.short_s = kind.short_s

    @property
    def ratio(self) -> float:
        """Long-term by short-term service time, 1.0 without observations."""
        return 1.0 / self._slowdown if self._slowdown > 0.0 else 1.0
