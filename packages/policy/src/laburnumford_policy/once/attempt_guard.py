"""Check of the requests of one peer connection."""

import hmac

from laburnumford_policy.once import guard_verdict

# Two monotonic clocks may differ by this much in rate while both are being slewed.
_CLOCK_RATE_ERROR = 0.001


class AttemptGuard:
    """Checks that a request was sent over this connection and can still be in time.

    The transit delay is the time since the hello by the receiver's clock minus that by
    the sender's clock. The sender counts from the arrival of the hello, so the time that
    the hello took is charged to the first requests. Later ones are compared with the
    fastest, which may grow with the clocks' difference in rate.

    Args:
        nonce: value given in the hello of this connection.
        hello_at: monotonic time in seconds at which the hello was answered.
    """

    def __init__(self, *, nonce: str, hello_at: float) -> None:
        self._nonce = nonce.encode()
        self._hello_at = hello_at
        self._floor_s = 0.0
        self._checked_at = hello_at
        self._last_sent_ms = 0.0

    def check(
        self, nonce: str | None, sent_ms: float | None, timeout_ms: float, now: float
    ) -> guard_verdict.GuardVerdict:
        """Decides about one request.

        Args:
            nonce: value of ``laburnumford-connection``.
            sent_ms: value of ``laburnumford-sent-ms``.
            timeout_ms: value of ``laburnumford-timeout-ms``.
            now: monotonic time in seconds at which the request is handed on, not that at
                which its bytes were read: a pause in between counts as well.
        """
        if nonce is None or not hmac.compare_digest(nonce.encode(), self._nonce):
            return self._refused(guard_verdict.GuardOutcome.STALE_CONNECTION)
        # A connection delivers in order, so a request sent before the last one is a replay.
        if sent_ms is None or not sent_ms >= self._last_sent_ms:
            return self._refused(guard_verdict.GuardOutcome.STALE_CONNECTION)
        self._last_sent_ms = sent_ms
        transit_s = self._transit(sent_ms, now)
        remaining_s = timeout_ms / 1000.0 - transit_s
        if not remaining_s > 0.0:
            return self._refused(guard_verdict.GuardOutcome.DEADLINE_EXCEEDED, transit_s)
        return guard_verdict.GuardVerdict(
            outcome=guard_verdict.GuardOutcome.RUN, remaining_s=remaining_s, transit_s=transit_s
        )

    def _transit(self, sent_ms: float, now: float) -> float:
        difference_s = now - self._hello_at - sent_ms / 1000.0
        allowed_s = self._floor_s + _CLOCK_RATE_ERROR * max(0.0, now - self._checked_at)
        self._floor_s = min(allowed_s, difference_s)
        self._checked_at = now
        return difference_s - self._floor_s

    @staticmethod
    def _refused(
        outcome: guard_verdict.GuardOutcome, transit_s: float = 0.0
    ) -> guard_verdict.GuardVerdict:
        return guard_verdict.GuardVerdict(outcome=outcome, transit_s=transit_s)
