"""Decision whether a second attempt is started beside the first."""

from laburnumford_policy.admission import parameters
from laburnumford_policy.retry import call_facts, cause, decision, retry_budget


class HedgePolicy:
    """Decides about hedges of the calls of one service.

    Args:
        budget: budget of the service, shared with its `RetryPolicy`.
        max_resends: resends of one call over all levels; a hedge counts as one.

    Raises:
        ParameterError: a parameter lies outside its range.
    """

    _TABLE = {"max_resends": parameters.Range(lowest=0, highest=10, whole=True)}

    def __init__(self, *, budget: retry_budget.RetryBudget, max_resends: int = 2) -> None:
        parameters.check("hedge policy", self._TABLE, {"max_resends": max_resends})
        self._budget = budget
        self._max_resends = max_resends

    def check(
        self,
        call: call_facts.CallFacts,
        elapsed_s: float,
        p95_s: float,
        spare_capacity: bool,
        now: float,
    ) -> decision.Decision:
        """Decides whether a second attempt is started.

        Args:
            call: facts about the call.
            elapsed_s: seconds since the first attempt was sent.
            p95_s: 95th percentile of the latency of the service in seconds; 0 if unknown.
            spare_capacity: whether another server has a free slot.
            now: monotonic time in seconds.

        Returns:
            A decision with ``resend`` for a hedge. If it only is too early,
            ``delay_s`` says when to ask again.
        """
        if not call.idempotent:
            return self._no("not-idempotent")
        if call.resends >= self._max_resends:
            return self._no("max-resends")
        if p95_s <= 0.0:
            return self._no("no-latency-known")
        if elapsed_s < p95_s:
            return decision.Decision(resend=False, delay_s=p95_s - elapsed_s, reason="too-early")
        if now >= call.deadline:
            return self._no("deadline")
        if not spare_capacity:
            return self._no("no-spare-capacity")
        if not self._budget.admit(cause.Cause.HEDGE, now, repeats_work=True, depth=call.depth):
            return self._no("budget")
        return decision.Decision(resend=True, delay_s=0.0, reason="slow")

    @staticmethod
    def _no(reason: str) -> decision.Decision:
        return decision.Decision(resend=False, delay_s=0.0, reason=reason)
