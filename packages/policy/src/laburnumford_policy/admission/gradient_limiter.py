"""Limiter that follows the ratio of long-term to short-term service time."""

from laburnumford_policy.admission import _baseline, limiter, parameters

# One observation at most halves the target of the limit.
_MIN_GRADIENT = 0.5
# A failure has no meaningful service time; it counts as a clear slowdown.
_FAILURE_GRADIENT = 0.7


@limiter.limiters.register("gradient")
class GradientLimiter(limiter.Limiter):
    """Scales the limit by the ratio of the long-term to the short-term service time.

    Args:
        slots: number of requests that the server runs at once.
        tolerance: slowdown up to which the limit is not decreased.
        headroom: requests added at each update so that the limit can grow again.
        smoothing: weight of an update, from 0.01 to 1.
    """

    _PARAMETER_RANGES = {
        "slots": parameters.Range(lowest=1, whole=True),
        "tolerance": parameters.Range(lowest=1.0),
        "headroom": parameters.Range(lowest=0.1),
        "smoothing": parameters.Range(lowest=0.01, highest=1.0),
    }

    def __init__(
        self,
        *,
        slots: int,
        tolerance: float = 2.0,
        headroom: float = 1.0,
        smoothing: float = 0.2,
    ) -> None:
        parameters.check(
            "gradient limiter",
            self._PARAMETER_RANGES,
            {
                "slots": slots,
                "tolerance": tolerance,
                "headroom": headroom,
                "smoothing": smoothing,
            },
        )
        self._slots = slots
        self._tolerance = tolerance
        self._headroom = headroom
        self._smoothing = smoothing
        self._limit = float(slots)
        self._baseline = _baseline.Baseline()

    @property
    def limit(self) -> int:
        """Number of requests that may run at once."""
        return max(1, int(self._limit))

    def observe(self, now: float, service_time_s: float, failed: bool, priority: str = "") -> None:
        """Updates the limit after a request has ended."""
        if failed:
            gradient = _FAILURE_GRADIENT
        else:
            self._baseline.observe(now, service_time_s, priority)
            gradient = min(1.0, max(_MIN_GRADIENT, self._tolerance * self._baseline.ratio))
        target = self._limit * gradient + self._headroom
        moved = self._limit + self._smoothing * (target - self._limit)
        self._limit = min(float(self._slots), max(1.0, moved))

    def apply(self, slots: int) -> None:
        """Applies a changed number of slots."""
        parameters.check(
            "gradient limiter", {"slots": self._PARAMETER_RANGES["slots"]}, {"slots": slots}
        )
        self._limit = max(1.0, self._limit * slots / self._slots)
        self._slots = slots
