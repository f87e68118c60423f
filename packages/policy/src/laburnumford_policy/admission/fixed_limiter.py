"""Limiter with a constant limit."""

from laburnumford_policy.admission import limiter, parameters


@limiter.limiters.register("fixed")
class FixedLimiter(limiter.Limiter):
    """Always allows as many requests as the server has slots.

    Args:
        slots: number of requests that the server runs at once.
    """

    _PARAMETER_RANGES = {"slots": parameters.Range(lowest=1, whole=True)}

    def __init__(self, *, slots: int) -> None:
        parameters.check("fixed limiter", self._PARAMETER_RANGES, {"slots": slots})
        self._slots = slots

    @property
    def limit(self) -> int:
        """Number of requests that may run at once."""
        return self._slots

    def observe(self, now: float, service_time_s: float, failed: bool, priority: str = "") -> None:
        """Ignores the request, because the limit is constant."""

    def apply(self, slots: int) -> None:
        """Applies a changed number of slots."""
        parameters.check("fixed limiter", self._PARAMETER_RANGES, {"slots": slots})
        self._slots = slots
