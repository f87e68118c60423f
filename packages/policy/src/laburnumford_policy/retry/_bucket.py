"""Token bucket."""


class Bucket:
    """Holds at most `burst` tokens and starts with one.

    Between two calls it earns the larger of the share and the minimum, not their sum, so
    the minimum adds nothing for a service with more than ``rate_per_s / share`` calls a
    second.

    Args:
        share: tokens earned by one call.
        rate_per_s: tokens earned by one second at least.
        burst: upper bound of the tokens held.
    """

    def __init__(self, *, share: float, rate_per_s: float, burst: float) -> None:
        self._share = share
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(1.0, burst)
        self._called_at: float | None = None
        self._earned_since_call = 0.0

    def earn_call(self, now: float) -> None:
        """Adds what one call earns."""
        self.earn_time(now)
        self._add(max(0.0, self._share - self._earned_since_call))
        self._called_at = now
        self._earned_since_call = 0.0

    def earn_time(self, now: float) -> None:
        """Adds what the time since the last call earns."""
        if self._called_at is None:
            self._called_at = now
        earned = (now - self._called_at) * self._rate_per_s
        if earned > self._earned_since_call:
            self._add(earned - self._earned_since_call)
            self._earned_since_call = earned

    def covers_one(self) -> bool:
        """Returns whether a token is left."""
        # Ten shares of 0.1 add up to slightly less than 1.
        return self._tokens >= 1.0 - 1e-9

    def spend_one(self) -> None:
        """Removes one token."""
        self._tokens = max(0.0, self._tokens - 1.0)

    def _add(self, tokens: float) -> None:
        self._tokens = min(self._burst, self._tokens + tokens)
