"""Average service times of a server, for its load report and for the expected time."""

_RECENT_WEIGHT = 0.2
_LONG_TERM_WEIGHT = 0.01


class ServiceTimes:
    """Averages the service time over all requests and over those of each priority.

    The expected service time of a priority is its long-term average times the recent
    slowdown of the whole server. A recent average per priority would stay high after the
    server has recovered, because a priority that is refused gets no new samples.

    Args:
        initial_s: service time in seconds before the first observation; 0 if unknown.
    """

    def __init__(self, *, initial_s: float) -> None:
        self.mean_s = initial_s
        self._slowdown = 1.0
        self._long_term_s_by_priority: dict[str, float] = {}
        self._count_by_priority: dict[str, int] = {}

    def expected(self, priority: str) -> float:
        """Returns the expected service time of a priority in seconds."""
        long_term_s = self._long_term_s_by_priority.get(priority)
        return self.mean_s if long_term_s is None else long_term_s * self._slowdown

    def observe(self, service_time_s: float, priority: str) -> None:
        """Updates the averages with one service time in seconds."""
        if self.mean_s == 0.0:
            self.mean_s = service_time_s
        self.mean_s += _RECENT_WEIGHT * (service_time_s - self.mean_s)
        if priority:
            self._observe_priority(service_time_s, priority)

    def _observe_priority(self, service_time_s: float, priority: str) -> None:
        count = self._count_by_priority[priority] = self._count_by_priority.get(priority, 0) + 1
        long_term_s = self._long_term_s_by_priority.get(priority, service_time_s)
        if long_term_s > 0.0:
            self._slowdown += _RECENT_WEIGHT * (service_time_s / long_term_s - self._slowdown)
        weight = max(_LONG_TERM_WEIGHT, 1.0 / count)
        self._long_term_s_by_priority[priority] = long_term_s + weight * (
            service_time_s - long_term_s
        )
