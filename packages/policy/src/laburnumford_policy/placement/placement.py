"""Selects the server that is expected to answer first.

Load pattern: servers on shared machines whose speed changes by a factor within a tenth of a
second. Their mean load over the last seconds predicts little and the newest report much, but a
report that every node acts upon at the same time is outdated a moment later.
"""

import random
from collections.abc import Collection, Iterable

from laburnumford_policy.placement import running_means, server_view, zone_overflow

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
        overflow: decides which requests leave the zone when its servers are too few; None leaves
            that to the expected latencies alone.
    """

    def __init__(
        self,
        *,
        generator: random.Random,
        overflow: zone_overflow.ZoneOverflow | None = None,
    ) -> None:
        self._generator = generator
        self._overflow = overflow
        self._service_time_s = running_means.RunningMeans(weight=_SAMPLE_WEIGHT)
        self._answer_bytes = running_means.RunningMeans(weight=_SAMPLE_WEIGHT)
        self.views_by_id: dict[str, server_view.ServerView] = {}

    def apply(self, views: Iterable[server_view.ServerView]) -> None:
        """Replaces the set of servers; known servers keep their learned state."""
        self.views_by_id = {
            view.server_id: self.views_by_id.get(view.server_id, view) for view in views
        }
        if self._overflow is not None:
            self._overflow.apply(self.views_by_id.values())

    def observe_sent(
        self, now: float, view: server_view.ServerView, request_class: str, body_bytes: int
    ) -> None:
        """Counts a call that is sent to a server, and its bytes if they leave the zone."""
        view.observe_sent()
        if view.other_zone and self._overflow is not None:
            self._overflow.observe_out_of_zone(
                now, body_bytes + self._answer_bytes.mean(request_class, 0.0)
            )

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

        While the own zone is short of servers, part of the first attempts compare its servers with
        those of another zone at no price. Further attempts compare all servers, because those of
        one zone may have refused for the same reason.

        Args:
            now: current time.
            request_class: key by which service times are learned.
            default_service_time_s: expected service time until the first answer.
            body_bytes: size of the request's body.
            excluded: ids of servers that must not be selected.
            soft_remaining_s: time left until the soft deadline.
        """
        transfer_bytes = body_bytes + self._answer_bytes.mean(request_class, 0.0)
        cross_zone_cost_s = min(
            transfer_bytes / 1000.0 * _CROSS_ZONE_COST_S_PER_KB,
            max(_CROSS_ZONE_COST_CAP_S, _CROSS_ZONE_COST_CAP_REMAINING_SHARE * soft_remaining_s),
        )
        service_time_s = self.mean_service_time_s(request_class, default_service_time_s)
        if self._overflow is not None and not excluded:
            views = self._overflow.candidates(now, service_time_s, transfer_bytes)
            if views is not None:
                best = self._fastest(views, now, service_time_s, excluded, 0.0)
                if best is not None:
                    return best
        return self._fastest(
            self.views_by_id.values(), now, service_time_s, excluded, cross_zone_cost_s
        )

    def _fastest(
        self,
        views: Iterable[server_view.ServerView],
        now: float,
        service_time_s: float,
        excluded: Collection[str],
        cross_zone_cost_s: float,
    ) -> server_view.ServerView | None:
        best: server_view.ServerView | None = None
        best_s = 0.0
        for view in views:
            if view.server_id in excluded or now < view.blocked_until_s:
                continue
            expected_s = view.expected_latency_s(now, service_time_s)
            expected_s *= 1.0 + _JITTER_SHARE * self._generator.random()
            if view.other_zone:
                expected_s += cross_zone_cost_s
            if best is None or expected_s < best_s:
                best, best_s = view, expected_s
        return best
