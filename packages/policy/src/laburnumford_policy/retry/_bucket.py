"""Token bucket."""


class Bucket:
    """Holds at most `burst` tokens and starts with one.

    Args:
        share: tokens earned by one call.
        rate_per_s: tokens earned by one second.
        burst: upper bound of the tokens held.
    """

    def __init__(self, *, share: float, rate_per_s: float, burst: float) -> None:
        self._share = share
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(1.0, burst)
        self._updated: float | None = None

    def earn_call(self) -> None:
        """Adds the share of one call."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def earn_time(self, now: float) -> None:
        """Adds the tokens for the time since the last call of this method."""
        if self._updated is not None and now > self._updated:
            earned = (now - self._updated) * self._rate_per_s
            self._tokens = min(self._burst, self._tokens + earned)
        self._updated = now if self._updated is None else max(now, self._updated)

    def covers_one(self) -> bool:
        """Returns whether a token is left."""
        # Ten shares of 0.1 add up to slightly less than 1.
        return self._tokens >= 1.0 - 1e-9

    def spend_one(self) -> None:
        """Removes one token."""
        self._tokens = max(0.0, self._tokens - 1.0)
