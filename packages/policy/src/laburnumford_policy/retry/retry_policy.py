"""Decides whether a failed call is resent."""

import random

from laburnumford_policy.admission import parameters
from laburnumford_policy.retry import (
    call_properties,
    cause,
    decision,
    failure,
    proof,
    retry_budget,
)


class RetryPolicy:
    """Decides whether failed calls of one service are resent, with exponential backoff and jitter.

    Args:
        budget: budget of the service, shared with its `HedgePolicy`.
        generator: random generator of the jitter.
        max_resends: largest number of resends of one call over all levels of nested calls.
        base_delay_s: upper bound of the first delay in seconds.
        max_delay_s: upper bound of any delay in seconds.

    Raises:
        ParameterError: a parameter lies outside its range.
    """

    _PARAMETER_RANGES = {
        "max_resends": parameters.Range(lowest=0, highest=10, whole=True),
        "base_delay_s": parameters.Range(lowest=0.0),
        "max_delay_s": parameters.Range(lowest=0.0),
    }

    def __init__(
        self,
        *,
        budget: retry_budget.RetryBudget,
        generator: random.Random,
        max_resends: int = 2,
        base_delay_s: float = 0.005,
        max_delay_s: float = 0.25,
    ) -> None:
        parameters.check(
            "retry policy",
            self._PARAMETER_RANGES,
            {
                "max_resends": max_resends,
                "base_delay_s": base_delay_s,
                "max_delay_s": max_delay_s,
            },
        )
        self._budget = budget
        self._generator = generator
        self._max_resends = max_resends
        self._base_delay_s = base_delay_s
        self._max_delay_s = max_delay_s

    def check(
        self,
        failure: failure.Failure,
        call: call_properties.CallProperties,
        now: float,
        *,
        cause: cause.Cause = cause.Cause.RETRY,
    ) -> decision.Decision:
        """Decides whether a call is resent after `failure`, and takes a token if so.

        Args:
            failure: the failed attempt.
            call: properties of the call.
            now: monotonic time in seconds.
            cause: cause under which the budget counts the resend.
        """
        may_repeat_work = failure.proof is proof.Proof.UNKNOWN
        if may_repeat_work and not call.idempotent:
            return self._denied("not-idempotent")
        if call.resends >= self._max_resends:
            return self._denied("max-resends")
        if failure.reason == "overloaded" and failure.levels_below > 0:
            return self._denied("overloaded-below")
        ceiling_s = min(self._max_delay_s, self._base_delay_s * 2.0**call.resends)
        delay_s = self._generator.uniform(0.0, ceiling_s)
        if now + delay_s >= call.deadline:
            return self._denied("deadline")
        if not self._budget.admit(cause, now, may_repeat_work=may_repeat_work, depth=call.depth):
            return self._denied("budget")
        return decision.Decision(resend=True, delay_s=delay_s, reason=failure.reason)

    @staticmethod
    def _denied(reason: str) -> decision.Decision:
        return decision.Decision(resend=False, delay_s=0.0, reason=reason)
