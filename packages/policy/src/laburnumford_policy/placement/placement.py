"""Selects the server that is expected to answer first.

Load pattern: servers on shared machines whose speed changes by a factor within a tenth of a
second. Their mean load over the last seconds predicts little and the newest report much, but a
report that every node acts upon at the same time is outdated a moment later.
"""

import random
from collections.abc import Collection, Iterable

from laburnumford_policy.placement import running_means, server_view

_JITTER_SHARE = 0.1
"""Spreads requests over servers with similar estimates, so that the nodes do not all select the
same one."""

_SAMPLE_WEIGHT = 0.05
"""Weight of one answer in the mean: about the last twenty count."""

_CROSS_ZONE_COST_S_PER_KB = 0.015
"""Traffic between availability zones is billed. A request goes to another zone if it is answered
earlier by this much for each kilobyte."""

_CROSS_ZONE_COST_CAP_S = 0.3
"""Seconds up to which a request waits in its own zone instead of being sent to another zone,
however near its soft deadline is."""

_CROSS_ZONE_COST_CAP_REMAINING_SHARE = 0.5
"""A request with a large body waits in its own zone for up to this share of the time until its
soft deadline; the other half covers its service time during a slowdown."""


class Placement:
    """Selects among the servers of one service.

    Args:
        generator: source of random numbers.
    """

    def __init__(self, *, generator: random.Random) -> None:
        self._generator = generator
        self._service_time_s = running_means.RunningMeans(weight=_SAMPLE_WEIGHT)
        self._answer_bytes = running_means.RunningMeans(weight=_SAMPLE_WEIGHT)
        self.views_by_id: dict[str, server_view.ServerView] = {}

    def apply(self, views: Iterable[server_view.ServerView]) -> None:
        """Replaces the set of servers; known servers keep their learned state."""
        self.views_by_id = {
            view.server_id: self.views_by_id.get(view.server_id, view) for view in views
        }

    def observe_answer(self, request_class: str, service_time_s: float, answer_bytes: int) -> None:
        """Records the service time and the answer size of a request class."""
        self._answer_bytes.observe(request_class, answer_bytes)
        self._service_time_s.observe(request_class, service_time_s)

    def mean_service_time_s(self, request_class: str, default_s: float) -> float:
        """Returns the mean service time of a request class, or the default without any answer."""
        return self._service_time_s.mean(request_class, default_s)

    def choose(
        self,
        now: float,
        request_class: str,
        default_service_time_s: float,
        body_bytes: int,
        excluded: Collection[str] = (),
        soft_remaining_s: float = 0.0,
    ) -> server_view.ServerView | None:
        """Returns the server with the lowest sum of expected time and cost, or None without any.

        Args:
            now: current time.
            request_class: key by which service times are learned.
            default_service_time_s: expected service time until the first answer.
            body_bytes: size of the request's body.
            excluded: ids of servers that must not be selected.
            soft_remaining_s: time left until the soft deadline.
        """
        kilobytes = (body_bytes + self._answer_bytes.mean(request_class, 0.0)) / 1000.0
        cross_zone_cost_s = min(
            kilobytes * _CROSS_ZONE_COST_S_PER_KB,
            max(_CROSS_ZONE_COST_CAP_S, _CROSS_ZONE_COST_CAP_REMAINING_SHARE * soft_remaining_s),
        )
        service_time_s = self.mean_service_time_s(request_class, default_service_time_s)
        best: server_view.ServerView | None = None
        best_s = 0.0
        for view in self.views_by_id.values():
            if view.server_id in excluded or now < view.blocked_until_s:
                continue
            expected_s = view.expected_latency_s(now, service_time_s)
            expected_s *= 1.0 + _JITTER_SHARE * self._generator.random()
            if view.other_zone:
                expected_s += cross_zone_cost_s
            if best is None or expected_s < best_s:
                best, best_s = view, expected_s
        return best
