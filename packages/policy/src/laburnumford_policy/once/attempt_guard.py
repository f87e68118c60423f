"""Replay and deadline check of the requests on one peer connection."""

import hmac

from laburnumford_policy.once import guard_decision

# Two monotonic clocks may differ by this share in rate while both are being slewed.
_MAX_CLOCK_RATE_DIFFERENCE = 0.001


class AttemptGuard:
    """Checks that a request was sent over this connection and that its deadline has not passed.

    The transit delay is the time since the hello on the receiver's clock minus the time
    since the hello on the sender's clock. The sender's time starts when the answer to the
    hello arrives, so the transit time of that answer counts as delay of the first requests.
    Later requests are compared with the fastest one so far, whose difference may grow with
    the difference in rate of both clocks.

    Args:
        nonce: value given in the hello of this connection.
        hello_at: monotonic time in seconds at which this node answered the hello.
    """

    def __init__(self, *, nonce: str, hello_at: float) -> None:
        self._nonce = nonce.encode()
        self._hello_at = hello_at
        self._min_difference_s = 0.0
        self._checked_at = hello_at
        self._last_sent_ms = 0.0

    def check(
        self, nonce: str | None, sent_ms: float | None, timeout_ms: float, now: float
    ) -> guard_decision.GuardDecision:
        """Decides whether one request may run.

        Args:
            nonce: value of ``laburnumford-connection``.
            sent_ms: value of ``laburnumford-sent-ms``.
            timeout_ms: value of ``laburnumford-timeout-ms``.
            now: monotonic time in seconds at which the request is forwarded, not that at
                which its bytes were read: a pause in between counts as delay too.
        """
        if nonce is None or not hmac.compare_digest(nonce.encode(), self._nonce):
            return self._refused(guard_decision.GuardOutcome.STALE_CONNECTION)
        # A connection delivers in order, so a request sent before the previous one is a replay.
        if sent_ms is None or not sent_ms >= self._last_sent_ms:
            return self._refused(guard_decision.GuardOutcome.STALE_CONNECTION)
        self._last_sent_ms = sent_ms
        transit_s = self._transit_delay_s(sent_ms, now)
        remaining_s = timeout_ms / 1000.0 - transit_s
        if not remaining_s > 0.0:
            return self._refused(guard_decision.GuardOutcome.DEADLINE_EXCEEDED, transit_s)
        return guard_decision.GuardDecision(
            outcome=guard_decision.GuardOutcome.RUN, remaining_s=remaining_s, transit_s=transit_s
        )

    def _transit_delay_s(self, sent_ms: float, now: float) -> float:
        difference_s = now - self._hello_at - sent_ms / 1000.0
        allowed_s = self._min_difference_s + _MAX_CLOCK_RATE_DIFFERENCE * max(
            0.0, now - self._checked_at
        )
        self._min_difference_s = min(allowed_s, difference_s)
        self._checked_at = now
        return difference_s - self._min_difference_s

    @staticmethod
    def _refused(
        outcome: guard_decision.GuardOutcome, transit_s: float = 0.0
    ) -> guard_decision.GuardDecision:
        return guard_decision.GuardDecision(outcome=outcome, transit_s=transit_s)
