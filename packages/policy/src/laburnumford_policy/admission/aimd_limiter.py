"""Limiter with additive increase and multiplicative decrease."""

from laburnumford_policy.admission import _baseline, limiter, parameters


@limiter.limiters.register("aimd")
class AimdLimiter(limiter.Limiter):
    """Multiplies the limit by `backoff` if the server is slow or fails, else increases it.

    The increase is about one request per `limit` completed requests.

    Args:
        slots: number of requests that the server runs at once.
        tolerance: slowdown relative to the baseline above which the server counts as slow.
        backoff: factor by which a decrease multiplies the limit.
    """

    _PARAMETER_RANGES = {
        "slots": parameters.Range(lowest=1, whole=True),
        "tolerance": parameters.Range(lowest=1.0),
        "backoff": parameters.Range(lowest=0.1, highest=0.99),
    }

    def __init__(self, *, slots: int, tolerance: float = 2.5, backoff: float = 0.7) -> None:
        parameters.check(
            "aimd limiter",
            self._PARAMETER_RANGES,
            {"slots": slots, "tolerance": tolerance, "backoff": backoff},
        )
        self._slots = slots
        self._tolerance = tolerance
        self._backoff = backoff
        self._limit = float(slots)
        self._baseline = _baseline.Baseline()
        self._decreased_at = float("-inf")

    @property
    def limit(self) -> int:
        """Number of requests that may run at once."""
        return max(1, int(self._limit))

    def observe(self, now: float, service_time_s: float, failed: bool, priority: str = "") -> None:
        """Updates the limit after a request has ended."""
        if not failed:
            self._baseline.observe(now, service_time_s, priority)
        if failed or self._baseline.ratio * self._tolerance < 1.0:
            # Requests that started before the last decrease do not show its effect.
            if now - self._decreased_at >= self._baseline.short_term_s:
                self._limit = max(1.0, self._limit * self._backoff)
                self._decreased_at = now
        else:
            self._limit = min(float(self._slots), self._limit + 1.0 / self._limit)

    def apply(self, slots: int) -> None:
        """Applies a changed number of slots."""
        parameters.check(
            "aimd limiter", {"slots": self._PARAMETER_RANGES["slots"]}, {"slots": slots}
        )
        self._limit = max(1.0, self._limit * slots / self._slots)
        self._slots = slots
