"""How fast the server beside the node is, as it said last."""

import math

from laburnumford_mesh import clock
from laburnumford_policy.placement import start_policy

_CHANGE = 0.3
"""Share by which the slowness has to change before others hear of it at once."""

_LONGEST_AGE_S = 3600.0
"""Seconds; stands for never in reports."""


class ServerSpeed:
    """Keeps the newest word of the server on its speed."""

    def __init__(self) -> None:
        self.slowness = 1.0
        self._at_s = -math.inf
        self._undisturbed_s = clock.now()

    def age_s(self, now: float) -> float:
        """Returns the time since the server has said how fast it is."""
        return min(now - self._at_s, _LONGEST_AGE_S)

    def observe(self, slowness: float) -> bool:
        """Takes over what the server says; returns whether it has changed much."""
        changed = abs(slowness - self.slowness) > _CHANGE * self.slowness
        self.slowness = slowness
        self._at_s = clock.now()
        if slowness <= start_policy.SLOWNESS_THRESHOLD:
            self._undisturbed_s = self._at_s
        return changed

    def current(self) -> start_policy.Speed:
        """Returns the speed for decisions."""
        slow = self.slowness > start_policy.SLOWNESS_THRESHOLD
        slow_for_s = self._at_s - self._undisturbed_s if slow else 0.0
        return start_policy.Speed(slowness=self.slowness, slow_for_s=max(slow_for_s, 0.0))
