"""Detection of pauses of the process."""

from laburnumford_policy.admission import parameters


class PauseDetector:
    """Detects pauses of the process as gaps between regular ticks.

    Args:
        threshold_s: shortest gap that counts as a pause, in seconds. It should be several
            times the tick interval, because a busy event loop delays ticks too.

    Raises:
        ParameterError: the threshold is not positive.
    """

    _PARAMETER_RANGES = {"threshold_s": parameters.Range(lowest=1e-6)}

    def __init__(self, *, threshold_s: float) -> None:
        parameters.check("pause detector", self._PARAMETER_RANGES, {"threshold_s": threshold_s})
        self._threshold_s = threshold_s
        self._last_tick_at: float | None = None

    def observe(self, now: float) -> float:
        """Records a tick and returns the length of the pause before it in seconds, or 0."""
        gap_s = 0.0 if self._last_tick_at is None else now - self._last_tick_at
        self._last_tick_at = now
        return gap_s if gap_s >= self._threshold_s else 0.0
