"""Decides when a hedge, a second attempt in parallel to the first, is sent."""

from laburnumford_policy.admission import parameters
from laburnumford_policy.retry import call_properties, cause, decision, retry_budget


class HedgePolicy:
    """Decides whether the calls of one service are hedged.

    Args:
        budget: budget of the service, shared with its `RetryPolicy`.
        max_resends: largest number of resends of one call over all levels of nested calls; a
            hedge counts as one.

    Raises:
        ParameterError: a parameter lies outside its range.
    """

    _PARAMETER_RANGES = {"max_resends": parameters.Range(lowest=0, highest=10, whole=True)}

    def __init__(self, *, budget: retry_budget.RetryBudget, max_resends: int = 2) -> None:
        parameters.check("hedge policy", self._PARAMETER_RANGES, {"max_resends": max_resends})
        self._budget = budget
        self._max_resends = max_resends

    def check(
        self,
        call: call_properties.CallProperties,
        elapsed_s: float,
        p95_s: float,
        spare_capacity: bool,
        now: float,
    ) -> decision.Decision:
        """Decides whether a second attempt is sent, and takes a token of the budget if so.

        Args:
            call: properties of the call.
            elapsed_s: seconds since the first attempt was sent.
            p95_s: 95th percentile of the latency of the service in seconds; 0 if unknown.
            spare_capacity: whether another server has a free slot.
            now: monotonic time in seconds.

        Returns:
            The decision; ``resend`` is set if a hedge is sent. If it is only too early,
            ``delay_s`` is the time in seconds after which to check again.
        """
        if not call.idempotent:
            return self._denied("not-idempotent")
        if call.resends >= self._max_resends:
            return self._denied("max-resends")
        if p95_s <= 0.0:
            return self._denied("no-latency-known")
        if elapsed_s < p95_s:
            return decision.Decision(resend=False, delay_s=p95_s - elapsed_s, reason="too-early")
        if now >= call.deadline:
            return self._denied("deadline")
        if not spare_capacity:
            return self._denied("no-spare-capacity")
        if not self._budget.admit(cause.Cause.HEDGE, now, may_repeat_work=True, depth=call.depth):
            return self._denied("budget")
        return decision.Decision(resend=True, delay_s=0.0, reason="slow")

    @staticmethod
    def _denied(reason: str) -> decision.Decision:
        return decision.Decision(resend=False, delay_s=0.0, reason=reason)
