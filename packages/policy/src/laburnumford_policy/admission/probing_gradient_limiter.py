"""Gradient limiter for servers that wait for other servers."""

from laburnumford_policy.admission import _decrease_check, gradient_limiter, limiter


@limiter.limiters.register("gradient-probing")
class ProbingGradientLimiter(gradient_limiter.GradientLimiter):
    """Gradient limiter that reverts a decrease which reduces the throughput.

    Args:
        slots: number of requests that the server runs at once.
        tolerance: slowdown up to which the limit is not decreased.
        headroom: requests added at each update so that the limit can grow again.
        smoothing: weight of an update, from 0.01 to 1.
    """

    def __init__(
        self,
        *,
        slots: int,
        tolerance: float = 2.0,
        headroom: float = 1.0,
        smoothing: float = 0.2,
    ) -> None:
        super().__init__(slots=slots, tolerance=tolerance, headroom=headroom, smoothing=smoothing)
        self._decrease_check = _decrease_check.DecreaseCheck(slots=slots, tolerance=tolerance)

    def observe(self, now: float, service_time_s: float, failed: bool, priority: str = "") -> None:
        """Updates the limit after a request has ended."""
        super().observe(now, service_time_s, failed, priority)
        if not failed and self._decrease_check.should_use_all_slots(
            now, self._limit, 1.0 / self._baseline.ratio
        ):
            self._limit = float(self._slots)

    def apply(self, slots: int) -> None:
        """Applies a changed number of slots."""
        super().apply(slots)
        self._decrease_check = _decrease_check.DecreaseCheck(
            slots=slots, tolerance=self._tolerance
        )
