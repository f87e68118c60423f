"""One node's estimate of the state of one backend server."""

import math

from laburnumford_policy.placement import (
    advertised_limit,
    baseline_slowness,
    slowdown_duration,
    start_policy,
)

_SLOWDOWN_DECAY_SHARE = 0.75
"""Share of the mean duration of slowdowns that is the time constant with which a reported slowdown
decays to the long-term mean."""

_BASELINE_VALIDITY_S = 1.0
"""Age of a report up to which its baseline is used."""

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
        zone: availability zone of the server.

    Attributes:
        server_id: id of the server.
        zone: availability zone of the server.
        round_trip_s: network round trip to the server in seconds.
        other_zone: whether it is in another availability zone.
        cold_until_s: time until which the server counts as cold after its start.
        blocked_until_s: time until which the server gets no requests.
        outstanding: number of calls of this node that have not ended.
        started_ms: Unix time of the start of the server in milliseconds, 0 if unknown.
        rate_limit_per_s: requests per second that the server takes, None without a limit.
        reported_s: time of the latest report, minus infinity without any.
    """

    def __init__(
        self,
        *,
        server_id: str,
        round_trip_s: float,
        other_zone: bool,
        slots: int,
        zone: str = "",
    ) -> None:
        self.server_id = server_id
        self.zone = zone
        self.round_trip_s = round_trip_s
        self.other_zone = other_zone
        self.cold_until_s = 0.0
        self.blocked_until_s = 0.0
        self.outstanding = 0
        self.started_ms = 0
        self.rate_limit_per_s: float | None = None
        self.reported_s = -math.inf
        self._measured_capacity = 0.0
        self._tokens = 0.0
        self._tokens_at_s = 0.0
        self._sequence = -1
        self._load = 0
        self._limit = max(slots, 1)
        self._sent_since_report = 0
        self._slowness = 1.0
        self._slowness_at_s = -math.inf
        self._slow_for_s = 0.0
        self._baseline = 1.0
        self._mean_slowdown = 1.0
        self._mean_slowdown_s = slowdown_duration.DEFAULT_S
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
        baseline: float = 1.0,
        mean_slowdown_s: float = slowdown_duration.DEFAULT_S,
        limit_known: bool = False,
        rate_limit_per_s: float | None = None,
        tokens: float = 0.0,
        capacity: float = 0.0,
    ) -> None:
        """Applies a load report; a report older than the last one is ignored."""
        if sequence < self._sequence:
            return
        self._sequence = sequence
        self.reported_s = now
        self._measured_capacity = capacity
        self._load = running + waiting
        self._limit = max(concurrency_limit, 1)
        self._sent_since_report = 0
        if limit_known:
            self.rate_limit_per_s = rate_limit_per_s
            self._tokens = tokens
            self._tokens_at_s = now
        at_s = now - slowness_age_s
        if at_s > self._slowness_at_s:
            self._slowness = slowness
            self._slow_for_s = slow_for_s
            self._slowness_at_s = at_s
            self._baseline = baseline
            self._mean_slowdown_s = mean_slowdown_s
            slowdown = slowness / baseline
            self._mean_slowdown += _SLOWNESS_REPORT_WEIGHT * (slowdown - self._mean_slowdown)

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

    @property
    def occupied(self) -> int:
        """Number of requests that run or wait at the server, with own ones since the report."""
        return max(self._load + self._sent_since_report, self.outstanding)

    def usable_slots(self, now: float, service_time_s: float) -> float:
        """Returns the requests that run at the same time at most, also under a rate limit."""
        if self.rate_limit_per_s is None:
            return self._limit
        run_time_s = service_time_s * self._mean_slowness(now)
        return min(self.rate_limit_per_s * run_time_s, self._limit)

    def capacity(self, now: float, service_time_s: float) -> float:
        """Returns the work that the server completes, in seconds at normal speed per second.

        Until the node of the server has measured it, the concurrency limit and the mean slowness
        stand for it.
        """
        capacity = self._measured_capacity
        if not capacity:
            capacity = self._limit / self._mean_slowness(now)
        if self.rate_limit_per_s is not None:
            capacity = min(capacity, self.rate_limit_per_s * service_time_s)
        return capacity * (1.0 - self.failure_share(now))

    def _mean_slowness(self, now: float) -> float:
        return self._mean_slowdown * self.baseline(now)

    def is_slow(self, now: float) -> bool:
        """Returns whether the server is estimated to be in a slowdown."""
        return self._speed(now).slow

    def baseline(self, now: float) -> float:
        """Returns the slowness of the server without short slowdowns."""
        if now - self._slowness_at_s <= _BASELINE_VALIDITY_S:
            return self._baseline
        return baseline_slowness.COLD_SLOWNESS if now < self.cold_until_s else 1.0

    def expected_latency_s(self, now: float, service_time_s: float) -> float:
        """Returns the expected latency of a request sent now: the time until its answer.

        Args:
            now: current time.
            service_time_s: service time at normal speed in seconds.
        """
        return self.estimate(now, service_time_s)[0]

    def estimate(self, now: float, service_time_s: float) -> tuple[float, float]:
        """Returns the expected latency in seconds and the slowness that it is based on.

        Args:
            now: current time.
            service_time_s: service time at normal speed in seconds.
        """
        speed = self._speed(now)
        completion_s = start_policy.expected_completion_s(speed, service_time_s)
        ahead = max(self._load + self._sent_since_report, self.outstanding) + 1 - self._limit
        rounds = max(ahead, 0) / self._limit
        failing = min(self.failure_share(now), _MAX_FAILURE_SHARE)
        wait_s = max(service_time_s * speed.baseline * rounds, self._limit_wait_s(now))
        expected_s = (self.round_trip_s + completion_s + wait_s) / (1.0 - failing) ** 2
        return (expected_s, speed.slowness)

    def known_load(self) -> tuple[int, int, int]:
        """Returns the reported load, the requests sent since the report, and the limit.

        The load is the number of requests that run or wait; the limit is the number that run at a
        time.
        """
        return (self._load, self._sent_since_report, self._limit)

    def _limit_wait_s(self, now: float) -> float:
        """Returns the expected wait for the rate limit of the server in seconds."""
        if self.rate_limit_per_s is None:
            return 0.0
        wait_s = advertised_limit.wait_s(
            rate_per_s=self.rate_limit_per_s, tokens=self._tokens, ahead=self._sent_since_report
        )
        return max(wait_s - (now - self._tokens_at_s), 0.0)

    def _speed(self, now: float) -> start_policy.Speed:
        age_s = max(now - self._slowness_at_s, 0.0)
        weight = math.exp(-age_s / (_SLOWDOWN_DECAY_SHARE * self._mean_slowdown_s))
        reported = self._slowness / self._baseline
        slowdown = self._mean_slowdown + (reported - self._mean_slowdown) * weight
        baseline = self.baseline(now)
        return start_policy.Speed(
            slowness=slowdown * baseline,
            slow_for_s=self._slow_for_s,
            baseline=baseline,
            mean_slowdown_s=self._mean_slowdown_s,
        )

    def has_free_slot(self, now: float) -> bool:
        """Returns whether a request sent now would probably start without waiting."""
        return self.occupied < self._limit and self._limit_wait_s(now) <= 0
