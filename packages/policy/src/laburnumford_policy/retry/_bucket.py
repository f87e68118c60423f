"""Token bucket that is filled by calls and by a minimum rate."""


class TokenBucket:
    """Holds at most `burst` tokens and starts with one.

    Between two calls it gains either the tokens of the call or those of the minimum rate,
    whichever is more, not both. The minimum rate thus adds nothing for a service with more
    than ``min_tokens_per_s / tokens_per_call`` calls per second.

    Args:
        tokens_per_call: tokens added for each call.
        min_tokens_per_s: least number of tokens added per second.
        burst: largest number of tokens held.
    """

    def __init__(self, *, tokens_per_call: float, min_tokens_per_s: float, burst: float) -> None:
        self._tokens_per_call = tokens_per_call
        self._min_tokens_per_s = min_tokens_per_s
        self._burst = burst
        self._tokens = min(1.0, burst)
        self._last_call_at: float | None = None
        self._earned_since_call = 0.0

    def add_for_call(self, now: float) -> None:
        """Adds the tokens of one call."""
        self.add_for_time(now)
        self._add(max(0.0, self._tokens_per_call - self._earned_since_call))
        self._last_call_at = now
        self._earned_since_call = 0.0

    def add_for_time(self, now: float) -> None:
        """Adds the tokens of the minimum rate for the time since the last call."""
        if self._last_call_at is None:
            self._last_call_at = now
        earned = (now - self._last_call_at) * self._min_tokens_per_s
        if earned > self._earned_since_call:
            self._add(earned - self._earned_since_call)
            self._earned_since_call = earned

    def has_token(self) -> bool:
        """Returns whether at least one token is available."""
        # The tolerance absorbs rounding: ten times 0.1 adds up to slightly less than 1.
        return self._tokens >= 1.0 - 1e-9

    def take_token(self) -> None:
        """Removes one token."""
        self._tokens = max(0.0, self._tokens - 1.0)

    def _add(self, tokens: float) -> None:
        self._tokens = min(self._burst, self._tokens + tokens)
