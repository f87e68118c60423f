"""What one node believes about one backend server."""

import math

from laburnumford_policy.placement import start_policy

_SLOWNESS_MEMORY_S = 0.15
"""How long a reported slowness says more than the long-term mean. Neighbours on shared
machines change within some hundred milliseconds."""

_MEAN_WEIGHT = 0.02
"""Weight of one report: with some ten a second the mean spans seconds."""

_FAILURE_WEIGHT = 0.2
"""Weight of one result: four failures in a row are a share above one half."""

_FAILURE_HALF_LIFE_S = 2.0
"""A failing server is tried again with a trickle after some seconds."""

_MAX_FAILURE_SHARE = 0.95
"""Keeps the expected time finite, so that the least bad server is still found."""


class ServerView:
    """Reported load, own calls since the report, and failures of one server.

    Args:
        server_id: the server.
        distance_s: time for the way there and back.
        other_zone: whether it is in another availability zone.
        slots: requests that the server runs at the same time.
    """

    def __init__(self, *, server_id: str, distance_s: float, other_zone: bool, slots: int) -> None:
        self.server_id = server_id
        self.distance_s = distance_s
        self.other_zone = other_zone
        self.cold_until_s = 0.0
        self.blocked_until_s = 0.0
        self.outstanding = 0
        self._sequence = -1
        self._load = 0
        self._limit = max(slots, 1)
        self._sent_since = 0
        self._slowness = 1.0
        self._slowness_at_s = -math.inf
        self._slow_for_s = 0.0
        self._mean_slowness = 1.0
        self._failure_share = 0.0
        self._failure_at_s = 0.0

    def observe_sent(self) -> None:
        """Counts a call on its way to the server."""
        self.outstanding += 1
        self._sent_since += 1

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
        limit: int,
        slowness: float,
        slowness_age_s: float,
        slow_for_s: float,
    ) -> None:
        """Takes a load report; one that was overtaken by a newer one has no effect."""
        if sequence < self._sequence:
            return
        self._sequence = sequence
        self._load = running + waiting
        self._limit = max(limit, 1)
        self._sent_since = 0
        at_s = now - slowness_age_s
        if at_s > self._slowness_at_s:
            self._slowness = slowness
            self._slow_for_s = slow_for_s
            self._slowness_at_s = at_s
            self._mean_slowness += _MEAN_WEIGHT * (slowness - self._mean_slowness)

    def forget_sequence(self) -> None:
        """Accepts reports of a node that started again."""
        self._sequence = -1

    def observe_result(self, *, now: float, failed: bool) -> None:
        """Takes over whether a call got a usable answer."""
        share = self.failure_share(now)
        self._failure_share = share + _FAILURE_WEIGHT * (float(failed) - share)
        self._failure_at_s = now

    def failure_share(self, now: float) -> float:
        """Returns the share of recent calls that failed, fading with time."""
        age_s = max(now - self._failure_at_s, 0.0)
        return self._failure_share * math.exp2(-age_s / _FAILURE_HALF_LIFE_S)

    def looks_slow(self, now: float) -> bool:
        """Returns whether the server is believed to be in a slow spell."""
        return self._speed(now).slow

    def expected_s(self, now: float, work_s: float, cold_factor: float) -> float:
        """Returns the expected time until the answer of a request sent now.

        Args:
            now: current time.
            work_s: time that the work takes on an undisturbed server.
            cold_factor: how much slower a server is that has just started.
        """
        start_s = start_policy.expected_end_s(self._speed(now), work_s)
        if now < self.cold_until_s:
            start_s *= cold_factor
        ahead = max(self._load + self._sent_since, self.outstanding) + 1 - self._limit
        rounds = max(ahead, 0) / self._limit
        failing = min(self.failure_share(now), _MAX_FAILURE_SHARE)
        return (self.distance_s + start_s + work_s * rounds) / (1.0 - failing) ** 2

    def _speed(self, now: float) -> start_policy.Speed:
        age_s = max(now - self._slowness_at_s, 0.0)
        weight = math.exp(-age_s / _SLOWNESS_MEMORY_S)
        slowness = self._mean_slowness + (self._slowness - self._mean_slowness) * weight
        return start_policy.Speed(slowness=slowness, slow_for_s=self._slow_for_s)

    def has_room(self) -> bool:
        """Returns whether a request sent now would probably start at once."""
        return max(self._load + self._sent_since, self.outstanding) < self._limit
