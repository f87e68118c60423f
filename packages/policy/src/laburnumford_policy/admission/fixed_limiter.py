"""Limiter that allows all slots at all times."""

from laburnumford_policy.admission import limiter, parameters


@limiter.limiters.register("fixed")
class FixedLimiter(limiter.Limiter):
    """Allows `slots` requests at all times.

    Args:
        slots: number of requests that the server runs at once.
    """

    _TABLE = {"slots": parameters.Range(lowest=1, whole=True)}

    def __init__(self, *, slots: int) -> None:
        parameters.check("fixed limiter", self._TABLE, {"slots": slots})
        self._slots = slots

    @property
    def limit(self) -> int:
        """Number of requests that may run."""
        return self._slots

    def observe(self, now: float, service_time_s: float, failed: bool, priority: str = "") -> None:
        """Ignores the observation."""

    def apply(self, slots: int) -> None:
        """Takes over a changed number of slots."""
        parameters.check("fixed limiter", self._TABLE, {"slots": slots})
        self._slots = slots
