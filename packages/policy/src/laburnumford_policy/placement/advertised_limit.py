"""Rate limit that a server in trouble advertises in its answers.

Load pattern: a server can take only a few requests a second for some time and says so, while the
demand for its service stays as it is. Requests above the rate overload it; requests that wait for
the rate until their deadline are lost without reason, because other servers may have room.
"""

_BURST_S = 0.5
"""Seconds of the advertised rate that may be admitted at once, in addition to one request."""


class AdvertisedLimit:
    """Token bucket that holds the rate that a server advertises.

    Attributes:
        rate_per_s: advertised requests per second, None without a limit.
    """

    def __init__(self) -> None:
        self.rate_per_s: float | None = None
        self._tokens = 0.0
        self._updated_s = 0.0

    def apply(self, now: float, rate_per_s: float | None) -> bool:
        """Applies the latest advertised rate.

        A limit starts with one token: the requests that were admitted before it are not counted.

        Args:
            now: current time.
            rate_per_s: advertised requests per second, greater than 0, or None without a limit.

        Returns:
            Whether the rate changed.
        """
        if rate_per_s == self.rate_per_s:
            return False
        self._refill(now)
        if self.rate_per_s is None:
            self._tokens = 1.0
        self.rate_per_s = rate_per_s
        return True

    def drain(self, now: float, at_most: float) -> None:
        """Reduces the tokens to a number, which is negative if requests have been sent already."""
        self._refill(now)
        self._tokens = min(self._tokens, at_most)

    def tokens(self, now: float) -> float:
        """Returns the number of requests that may be admitted now, infinity without a limit."""
        if self.rate_per_s is None:
            return float("inf")
        self._refill(now)
        return self._tokens

    def can_admit(self, now: float) -> bool:
        """Returns whether a request may be admitted now."""
        # The tolerance absorbs rounding: ten times 0.1 adds up to slightly less than 1.
        return self.tokens(now) >= 1.0 - 1e-9

    def admit(self, now: float) -> None:
        """Takes the token of a request."""
        if self.rate_per_s is not None:
            self._refill(now)
            self._tokens -= 1.0

    def wait_s(self, now: float, ahead: int) -> float:
        """Returns the seconds until a request behind `ahead` other ones may be admitted."""
        if self.rate_per_s is None:
            return 0.0
        return wait_s(rate_per_s=self.rate_per_s, tokens=self.tokens(now), ahead=ahead)

    def _refill(self, now: float) -> None:
        if self.rate_per_s is not None:
            gained = max(now - self._updated_s, 0.0) * self.rate_per_s
            self._tokens = min(self._tokens + gained, 1.0 + _BURST_S * self.rate_per_s)
        self._updated_s = now


def wait_s(*, rate_per_s: float, tokens: float, ahead: int) -> float:
    """Returns the seconds until a limited server may get a request.

    Args:
        rate_per_s: advertised requests per second.
        tokens: requests that may be admitted now.
        ahead: requests that go first.
    """
    return max(ahead + 1 - tokens, 0.0) / rate_per_s
