"""One node's estimate of the state of one backend server."""

import math

from laburnumford_policy.placement import start_policy

_SLOWNESS_DECAY_S = 0.15
"""Time constant with which a reported slowness decays to the long-term mean. The load of other
VMs on the same machine changes within some hundred milliseconds."""

_SLOWNESS_REPORT_WEIGHT = 0.02
"""Weight of one report in the mean: with about ten a second the mean spans seconds."""

_RESULT_WEIGHT = 0.2
"""Weight of one result: four failures in a row make a failure share above one half."""

_FAILURE_HALF_LIFE_S = 2.0
"""A failing server gets a few requests again after some seconds."""

_MAX_FAILURE_SHARE = 0.95
"""Keeps the expected time finite, so that the server with the fewest failures is still found."""


class ServerView:
    """Reported load, own calls since the report, and failures of one server.

    Args:
        server_id: id of the server.
        round_trip_s: network round trip to the server in seconds.
        other_zone: whether it is in another availability zone.
        slots: requests that the server runs at the same time.

    Attributes:
        server_id: id of the server.
        round_trip_s: network round trip to the server in seconds.
        other_zone: whether it is in another availability zone.
        cold_until_s: time until which the server counts as cold after its start.
        blocked_until_s: time until which the server gets no requests.
        outstanding: number of calls of this node that have not ended.
    """

    def __init__(
        self, *, server_id: str, round_trip_s: float, other_zone: bool, slots: int
    ) -> None:
        self.server_id = server_id
        self.round_trip_s = round_trip_s
        self.other_zone = other_zone
        self.cold_until_s = 0.0
        self.blocked_until_s = 0.0
        self.outstanding = 0
        self._sequence = -1
        self._load = 0
        self._limit = max(slots, 1)
        self._sent_since_report = 0
        self._slowness = 1.0
        self._slowness_at_s = -math.inf
        self._slow_for_s = 0.0
        self._mean_slowness = 1.0
        self._failure_share = 0.0
        self._failure_at_s = 0.0

    def observe_sent(self) -> None:
        """Counts a call that is sent to the server."""
        self.outstanding += 1
        self._sent_since_report += 1

    def observe_ended(self) -> None:
        """Counts the end of a call."""
        self.outstanding -= 1

    def observe_load(
        self,
        *,
        now: float,
        sequence: int,
        running: int,
        waiting: int,
        concurrency_limit: int,
        slowness: float,
        slowness_age_s: float,
        slow_for_s: float,
    ) -> None:
        """Applies a load report; a report older than the last one is ignored."""
        if sequence < self._sequence:
            return
        self._sequence = sequence
        self._load = running + waiting
        self._limit = max(concurrency_limit, 1)
        self._sent_since_report = 0
        at_s = now - slowness_age_s
        if at_s > self._slowness_at_s:
            self._slowness = slowness
            self._slow_for_s = slow_for_s
            self._slowness_at_s = at_s
            self._mean_slowness += _SLOWNESS_REPORT_WEIGHT * (slowness - self._mean_slowness)

    def reset_sequence(self) -> None:
        """Accepts any sequence number in the next report, because the reporting node restarted."""
        self._sequence = -1

    def observe_result(self, *, now: float, failed: bool) -> None:
        """Records whether a call failed to get a usable answer."""
        share = self.failure_share(now)
        self._failure_share = share + _RESULT_WEIGHT * (float(failed) - share)
        self._failure_at_s = now

    def failure_share(self, now: float) -> float:
        """Returns the share of recent calls that failed, which decays with time."""
        age_s = max(now - self._failure_at_s, 0.0)
        return self._failure_share * math.exp2(-age_s / _FAILURE_HALF_LIFE_S)

    def is_slow(self, now: float) -> bool:
        """Returns whether the server is estimated to be in a slowdown."""
        return self._speed(now).slow

    def expected_latency_s(self, now: float, service_time_s: float, cold_slowness: float) -> float:
        """Returns the expected latency of a request sent now: the time until its answer.

        Args:
            now: current time.
            service_time_s: service time at normal speed in seconds.
            cold_slowness: factor by which a server that has just started is slower.
        """
        completion_s = start_policy.expected_completion_s(self._speed(now), service_time_s)
        if now < self.cold_until_s:
            completion_s *= cold_slowness
        ahead = max(self._load + self._sent_since_report, self.outstanding) + 1 - self._limit
        rounds = max(ahead, 0) / self._limit
        failing = min(self.failure_share(now), _MAX_FAILURE_SHARE)
        return (self.round_trip_s + completion_s + service_time_s * rounds) / (1.0 - failing) ** 2

    def _speed(self, now: float) -> start_policy.Speed:
        age_s = max(now - self._slowness_at_s, 0.0)
        weight = math.exp(-age_s / _SLOWNESS_DECAY_S)
        slowness = self._mean_slowness + (self._slowness - self._mean_slowness) * weight
        return start_policy.Speed(slowness=slowness, slow_for_s=self._slow_for_s)

    def has_free_slot(self) -> bool:
        """Returns whether a request sent now would probably start without waiting."""
        return max(self._load + self._sent_since_report, self.outstanding) < self._limit
