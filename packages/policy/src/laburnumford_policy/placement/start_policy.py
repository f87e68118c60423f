"""Decides whether a request starts on a server that is slow at the moment.

Load pattern: other VMs on the same machine slow a server down. The speed at the start of a request
determines its whole service time, and a slowdown usually ends within some hundred milliseconds. A
request that starts in a slowdown of factor five takes longer than the rest of the slowdown and
its normal service time together.
"""

import dataclasses

from laburnumford_policy.placement import slowdown_duration

_REMAINING_SHARE = 0.5
"""Share of the mean duration that remains of a slowdown that was just detected."""

MIN_REMAINING_SLOWDOWN_S = _REMAINING_SHARE * slowdown_duration.DEFAULT_S
"""Expected remaining time of a new slowdown until durations have been observed."""

SLOWNESS_THRESHOLD = 1.5
"""Up to this multiple of its baseline a server does not count as slowed down."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Speed:
    """Current speed of a server.

    Attributes:
        slowness: current service time divided by the normal one; 1.0 is normal speed.
        slow_for_s: seconds since the server was last seen outside a slowdown, 0 if it is now.
        baseline: slowness without the slowdown; above 1 while the server is cold.
        mean_slowdown_s: mean duration of the slowdowns of the server in seconds.
    """

    slowness: float
    slow_for_s: float
    baseline: float = 1.0
    mean_slowdown_s: float = slowdown_duration.DEFAULT_S

    @property
    def slow(self) -> bool:
        """Whether the server is in a slowdown."""
        return self.slowness > SLOWNESS_THRESHOLD * self.baseline


def remaining_slowdown_s(speed: Speed) -> float:
    """Returns the expected remaining time of a slowdown; it grows with the time elapsed."""
    return max(_REMAINING_SHARE * speed.mean_slowdown_s, speed.slow_for_s)


def expected_completion_s(speed: Speed, service_time_s: float) -> float:
    """Returns the time until a request is done that starts now or after the slowdown.

    The earlier of the two completions counts.
    """
    completion_now_s = service_time_s * speed.slowness
    if not speed.slow:
        return completion_now_s
    return min(completion_now_s, remaining_slowdown_s(speed) + service_time_s * speed.baseline)


def should_start_now(*, speed: Speed, service_time_s: float, remaining_s: float) -> bool:
    """Returns whether a request should start now instead of after the slowdown.

    Args:
        speed: current speed of the server.
        service_time_s: service time at normal speed in seconds.
        remaining_s: time left until the deadline in seconds.
    """
    if not speed.slow:
        return True
    completion_now_s = service_time_s * speed.slowness
    completion_later_s = remaining_slowdown_s(speed) + service_time_s * speed.baseline
    if completion_now_s > remaining_s:
        # Started now, the request misses its deadline; if it waits, the slowdown may end in time.
        return False
    return completion_now_s <= completion_later_s
