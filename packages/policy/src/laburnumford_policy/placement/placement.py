"""Chooses the server that is expected to answer first.

Answers the load pattern of servers on shared machines whose speed changes by a factor within
a tenth of a second: the load of the last seconds says little, the newest report much, and a
report that every node acts upon at once is wrong a moment later.
"""

import random
from collections.abc import Collection, Iterable

from laburnumford_policy.placement import running_means, server_view

_COLD_FACTOR = 2.0
"""Servers that have just started are about this much slower until they are warm."""

_JITTER = 0.1
"""Spreads the nodes over servers that look alike, so that they do not all take the same one."""

_WORK_WEIGHT = 0.05
"""Weight of one answer in the mean: about the last twenty count."""

_ZONE_COST_S_PER_KB = 0.015
"""Bytes between availability zones are paid for. A request goes to another zone if it is
answered earlier by this much for each kilobyte."""

_MAX_ZONE_COST_S = 0.3
"""Seconds that a request waits in its own zone rather than cross, however near its aim is."""

_MAX_ZONE_COST_AIM_SHARE = 0.5
"""A large body waits in its own zone for up to this share of the time until its aim; the other
half covers its work in a slow spell."""


class Placement:
    """Chooses among the servers of one service.

    Args:
        generator: source of random numbers.
    """

    def __init__(self, *, generator: random.Random) -> None:
        self._generator = generator
        self._work_s = running_means.RunningMeans(weight=_WORK_WEIGHT)
        self._answer_bytes = running_means.RunningMeans(weight=_WORK_WEIGHT)
        self.views_by_id: dict[str, server_view.ServerView] = {}

    def apply(self, views: Iterable[server_view.ServerView]) -> None:
        """Replaces the servers; known ones keep what was learned."""
        self.views_by_id = {
            view.server_id: self.views_by_id.get(view.server_id, view) for view in views
        }

    def observe_work(self, work_key: str, work_s: float, answer_bytes: int) -> None:
        """Learns how long the work of a kind takes and how large its answers are."""
        self._answer_bytes.observe(work_key, answer_bytes)
        self._work_s.observe(work_key, work_s)

    def work_s(self, work_key: str, default_s: float) -> float:
        """Returns the mean time that the work of a kind took."""
        return self._work_s.mean(work_key, default_s)

    def choose(
        self,
        now: float,
        work_key: str,
        default_work_s: float,
        body_bytes: int,
        excluded: Collection[str] = (),
        aim_left_s: float = 0.0,
    ) -> server_view.ServerView | None:
        """Returns the server with the least expected time and cost, or None without any.

        Args:
            now: current time.
            work_key: kind of work.
            default_work_s: expected time of its work as long as none was seen.
            body_bytes: size of the request's body.
            excluded: ids of servers that are out of question.
            aim_left_s: time until the answer loses worth.
        """
        kilobytes = (body_bytes + self._answer_bytes.mean(work_key, 0.0)) / 1000.0
        zone_cost_s = min(
            kilobytes * _ZONE_COST_S_PER_KB,
            max(_MAX_ZONE_COST_S, _MAX_ZONE_COST_AIM_SHARE * aim_left_s),
        )
        work_s = self.work_s(work_key, default_work_s)
        best: server_view.ServerView | None = None
        best_s = 0.0
        for view in self.views_by_id.values():
            if view.server_id in excluded or now < view.blocked_until_s:
                continue
            expected_s = view.expected_s(now, work_s, _COLD_FACTOR)
            expected_s *= 1.0 + _JITTER * self._generator.random()
            if view.other_zone:
                expected_s += zone_cost_s
            if best is None or expected_s < best_s:
                best, best_s = view, expected_s
        return best
