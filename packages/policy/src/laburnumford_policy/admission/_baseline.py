"""Slowdown of a server: its recent service time relative to its long-term service time."""

import math

# At 0.2 the variance of single service times (standard deviation of 0.5 of the mean) is
# taken for a slowdown: the limit of a healthy server at twice its capacity fell to 2 of 12.
_SHORT_TERM_WEIGHT = 0.05
_LONG_TERM_DECREASE_WEIGHT = 0.01
# A higher service time becomes the new baseline only if it lasts for minutes.
_LONG_TERM_INCREASE_TIME_CONSTANT_S = 120.0
# A baseline that starts from a single short request would stay too low for minutes.
_WARM_UP_SAMPLES = 100


class _PriorityTimes:
    """Short-term and long-term average service time of one priority."""

    def __init__(self) -> None:
        self.short_term_s = 0.0
        self.long_term_s = 0.0
        self._sample_count = 0
        self._updated_at = 0.0

    @property
    def warmed_up(self) -> bool:
        return self._sample_count > _WARM_UP_SAMPLES

    def observe(self, now: float, service_time_s: float, slowdown: float) -> None:
        self._sample_count += 1
        self.short_term_s += max(_SHORT_TERM_WEIGHT, 1.0 / self._sample_count) * (
            service_time_s - self.short_term_s
        )
        if not self.warmed_up:
            self.long_term_s += (service_time_s / slowdown - self.long_term_s) / self._sample_count
        else:
            self.long_term_s += self._long_term_weight(now) * (
                self.short_term_s - self.long_term_s
            )
        self._updated_at = now

    def _long_term_weight(self, now: float) -> float:
        if self.short_term_s < self.long_term_s:
            return _LONG_TERM_DECREASE_WEIGHT
        return -math.expm1(-max(0.0, now - self._updated_at) / _LONG_TERM_INCREASE_TIME_CONSTANT_S)


class Baseline:
    """Compares the service time of a server over a short and a long term.

    The long-term average follows a decrease within hundreds of samples and an increase only
    within minutes. Each priority has its own averages, so that a burst of long requests,
    such as uploads, is not taken for a slowdown.
    """

    def __init__(self) -> None:
        self._times_by_priority: dict[str, _PriorityTimes] = {}
        self._slowdown = 1.0
        self._any_warmed_up = False
        self.short_term_s = 0.0

    def observe(self, now: float, service_time_s: float, priority: str) -> None:
        """Updates the averages and the slowdown with one service time in seconds."""
        priority_times = self._times_by_priority.setdefault(priority, _PriorityTimes())
        # The first samples of a new priority are divided by the slowdown of the warmed-up
        # ones, because the server may be slow already. Until it has warmed up itself, a
        # priority does not change the slowdown.
        priority_times.observe(
            now, service_time_s, max(1.0, self._slowdown) if self._any_warmed_up else 1.0
        )
        self._any_warmed_up = self._any_warmed_up or priority_times.warmed_up
        if priority_times.long_term_s > 0.0 and (
            priority_times.warmed_up or not self._any_warmed_up
        ):
            slowdown = service_time_s / priority_times.long_term_s
            self._slowdown += _SHORT_TERM_WEIGHT * (slowdown - self._slowdown)
        self.short_term_s = priority_times.short_term_s

    @property
    def ratio(self) -> float:
        """Long-term service time divided by the recent one; 1.0 without observations."""
        return 1.0 / self._slowdown if self._slowdown > 0.0 else 1.0
