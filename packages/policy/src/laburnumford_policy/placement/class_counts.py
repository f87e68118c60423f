"""Decaying numbers of the requests of one class that arrived and that were accepted."""

import math

_TIME_CONSTANT_S = 2.0
"""Seconds in which a request loses 63 % of its weight; the same as for usages of shares."""


class ClassCounts:
    """Counts requests, of which recent ones have more weight.

    Args:
        priority: priority of the class, 0 is the highest.

    Attributes:
        priority: priority of the class.
        arrived: weighted number of requests at the last observation.
        accepted: weighted number of those that were accepted and not withdrawn.
    """

    __slots__ = ("_updated_s", "accepted", "arrived", "priority")

    def __init__(self, *, priority: int) -> None:
        self.priority = priority
        self.arrived = 0.0
        self.accepted = 0.0
        self._updated_s = 0.0

    @property
    def ratio(self) -> float:
        """Share of the requests that were accepted, 1 without any."""
        return self.accepted / self.arrived if self.arrived else 1.0

    def observe(self, now: float, *, arrived: float, accepted: float) -> None:
        """Adds requests."""
        weight = math.exp(-max(now - self._updated_s, 0.0) / _TIME_CONSTANT_S)
        self._updated_s = now
        self.arrived = self.arrived * weight + arrived
        self.accepted = max(self.accepted * weight + accepted, 0.0)
