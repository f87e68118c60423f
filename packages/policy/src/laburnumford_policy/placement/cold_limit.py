"""Rate limit of a server that has just started.

Load pattern: a zone that was evacuated comes back and its servers are cold. A cold server sustains a
few requests a second and crashes well above that rate. It may become cold again at any moment, which
only its health checks tell, so the requests since the last one count as sent to a cold server.
"""

import math

_MAX_CHECK_AGE_S = 0.25
"""Seconds since the last health check after which no request starts without another one."""

_MIN_CHECK_INTERVAL_S = 0.08
"""Seconds between two health checks while requests start. A warm server of these services starts
less than 100 requests a second, so at most 9 reach a server that has become cold unnoticed."""

_UNKNOWN_CHECK_INTERVAL_S = 0.5
"""Seconds between two health checks of a server that does not answer them."""

_BURST_S = 0.5
"""Seconds of the rate that the token bucket admits at once; see `advertised_limit`."""

_MARGIN = 0.95
"""Requests arrive up to some milliseconds closer together than they were sent."""


def admitted_rate(*, sustained_per_s: float, factor: float, slack: float) -> float:
    """Returns the rate at which requests are sent to a cold server.

    Args:
        sustained_per_s: requests per second that the server sustains.
        factor: multiple of that rate that operators allow.
        slack: requests that they allow in any second beyond it.
    """
    most_in_a_second = sustained_per_s * factor + slack
    bucket_rate = _MARGIN * (most_in_a_second - 1.0) / (1.0 + _BURST_S)
    return max(min(sustained_per_s * factor, bucket_rate), sustained_per_s / (1.0 + _BURST_S))


class ColdLimit:
    """Knows from health checks whether a server is cold, and counts the requests since the last one.

    A server without an answered health check counts as cold.

    Attributes:
        per_s: requests per second that a cold server sustains, None without a limit.
        duration_s: longest time in seconds for which a server is cold after its start.
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.duration_s = math.inf
        self._cold_until_s: float | None = None
        self._checked_s = -math.inf
        self._check_started_s = -math.inf
        self._started_count = 0
        self._started_before_check = 0
        self._check_failed = False

    def is_cold(self, now: float) -> bool:
        """Returns whether the server has a limit because it is cold, or may be cold."""
        if self.per_s is None:
            return False
        return self._cold_until_s is None or now < self._cold_until_s

    def remaining_s(self, now: float) -> float | None:
        """Returns the seconds until the server is warm, None if it is not known."""
        return None if self._cold_until_s is None else max(self._cold_until_s - now, 0.0)

    def debt(self) -> float:
        """Returns the requests that a server which turns out to be cold has already got.

        Only those of the last second count; the rate that the server sustains in it is the most
        that makes a difference.
        """
        return 0.0 if self.per_s is None else min(float(self._started_count), self.per_s)

    def forget(self) -> None:
        """Forgets the health checks, because the server may have started again since."""
        self._cold_until_s = None
        self._checked_s = -math.inf
        self._check_started_s = -math.inf
        self._started_count = 0
        self._started_before_check = 0
        self._check_failed = False

    def observe_start(self) -> None:
        """Counts a request that is sent to the server."""
        self._started_count += 1

    def begin_check(self, now: float) -> None:
        """Records that a health check is sent."""
        self._check_started_s = now
        self._started_before_check = self._started_count

    def observe_check(self, now: float, remaining_s: float) -> None:
        """Applies an answered health check.

        Args:
            now: current time.
            remaining_s: seconds until the server is warm, 0 if it is.
        """
        self._check_failed = False
        self._checked_s = now
        self._cold_until_s = now + min(remaining_s, self.duration_s)
        if remaining_s <= 0:
            self._started_count -= self._started_before_check
            self._started_before_check = 0

    def observe_failed_check(self) -> None:
        """Records that a health check got no answer; the last known state stays in force."""
        self._check_failed = True

    def must_check(self, now: float) -> bool:
        """Returns whether no request may start before the next health check.

        The limit protects a server that counts as cold without it.
        """
        if self.per_s is None or self._check_failed or self.is_cold(now):
            return False
        return now - self._checked_s > _MAX_CHECK_AGE_S

    def should_check(self, now: float) -> bool:
        """Returns whether a health check is due although no request waits for it."""
        if self.per_s is None:
            return False
        since_check_s = now - self._check_started_s
        if self._cold_until_s is None:
            return since_check_s > _UNKNOWN_CHECK_INTERVAL_S
        return self._started_count > 0 and since_check_s > _MIN_CHECK_INTERVAL_S
