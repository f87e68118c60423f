"""Work that a server does and has lately done for one request class, VM or connection."""

import math
from typing import Any

TIME_CONSTANT_S = 2.0
"""Seconds in which work that has ended loses 63 % of its weight. A pair of 50 ms requests at a
server with 4 slots and 60 pairs runs three requests in that time; a shorter memory would not tell
the pairs apart."""

_MIN_USAGE_S = 0.001
"""Usage below which a node of the tree is forgotten."""


class ShareUsage:
    """Node of a tree of usages; a node's usage is the sum of that of its children.

    Attributes:
        children: usages of the next lower level by key.
    """

    __slots__ = ("_held_s", "_recent_s", "_updated_s", "children")

    def __init__(self) -> None:
        self.children: dict[Any, ShareUsage] = {}
        self._held_s = 0.0
        self._recent_s = 0.0
        self._updated_s = 0.0

    def total_s(self, now: float) -> float:
        """Returns the work in seconds that waits, runs or has ended lately."""
        return max(self._held_s, 0.0) + self._recent_at(now)

    def hold(self, cost_s: float) -> None:
        """Adds work that waits or runs; a negative cost removes it."""
        self._held_s += cost_s

    def observe_ended(self, now: float, cost_s: float) -> None:
        """Adds work that has ended and loses weight from now on; a negative cost removes it."""
        self._recent_s = max(self._recent_at(now) + cost_s, 0.0)
        self._updated_s = now

    def prune(self, now: float) -> int:
        """Forgets the descendants without usage; returns the number of those that remain."""
        count = 0
        for key, child in list(self.children.items()):
            remaining = child.prune(now)
            if not remaining and child.total_s(now) < _MIN_USAGE_S:
                del self.children[key]
            else:
                count += remaining + 1
        return count

    def _recent_at(self, now: float) -> float:
        if not self._recent_s:
            return 0.0
        age_s = max(now - self._updated_s, 0.0)
        return self._recent_s * math.exp(-age_s / TIME_CONSTANT_S)
