"""Chooses the server that is expected to answer first.

Answers the load pattern of servers on shared machines whose speed changes by a factor within
a tenth of a second: the load of the last seconds says little, the newest report much, and a
report that every node acts upon at once is wrong a moment later.
"""

import random
from collections.abc import Collection, Iterable

from laburnumford_policy.placement import server_view

_COLD_FACTOR = 2.0
"""Servers that have just started are about this much slower until they are warm."""

_JITTER = 0.1
"""Spreads the nodes over servers that look alike, so that they do not all take the same one."""

_WORK_WEIGHT = 0.05


class Placement:
    """Chooses among the servers of one service.

    Args:
        generator: source of random numbers.
    """

    def __init__(self, *, generator: random.Random) -> None:
        self._generator = generator
        self._work_s_by_key: dict[str, float] = {}
        self.views_by_id: dict[str, server_view.ServerView] = {}

    def apply(self, views: Iterable[server_view.ServerView]) -> None:
        """Replaces the servers; known ones keep what was learned."""
        self.views_by_id = {
            view.server_id: self.views_by_id.get(view.server_id, view) for view in views
        }

    def observe_work(self, work_key: str, work_s: float) -> None:
        """Learns how long the work of a kind takes."""
        known = self._work_s_by_key.get(work_key)
        if known is None:
            self._work_s_by_key[work_key] = work_s
        else:
            self._work_s_by_key[work_key] = known + _WORK_WEIGHT * (work_s - known)

    def work_s(self, work_key: str, default_s: float) -> float:
        """Returns the mean time that the work of a kind took."""
        return self._work_s_by_key.get(work_key, default_s)

    def choose(
        self, now: float, work_key: str, default_work_s: float, excluded: Collection[str] = ()
    ) -> server_view.ServerView | None:
        """Returns the server with the least expected time, or None without any."""
        work_s = self.work_s(work_key, default_work_s)
        best: server_view.ServerView | None = None
        best_s = 0.0
        for view in self.views_by_id.values():
            if view.server_id in excluded or now < view.blocked_until_s:
                continue
            expected_s = view.expected_s(now, work_s, _COLD_FACTOR)
            expected_s *= 1.0 + _JITTER * self._generator.random()
            if best is None or expected_s < best_s:
                best, best_s = view, expected_s
        return best
