"""Token bucket for one resource."""


class TokenBucket:
    """Grants at most `rate` units in any second.

    The capacity and the units refilled in one second add up to the rate. The bucket starts empty,
    so that a process in a restart loop grants no more than one that keeps running.

    Args:
        rate: units per second.
        burst_share: capacity as a share of the rate.
        min_capacity: lowest capacity. A bucket that would hold less has this capacity and refills
            at the full rate, so with 1.0 single units are granted at least 1 / rate seconds apart.
    """

    __slots__ = ("_capacity", "_refill_per_s", "_refilled_at", "_tokens", "rate")

    def __init__(self, *, rate: float, burst_share: float, min_capacity: float = 0.0) -> None:
        self.rate = rate
        if rate * burst_share >= min_capacity:
            self._capacity = rate * burst_share
            self._refill_per_s = rate * (1.0 - burst_share)
        else:
            self._capacity = min_capacity
            self._refill_per_s = rate
        self._tokens = 0.0
        self._refilled_at: float | None = None

    def refill(self, now: float) -> None:
        """Adds the tokens since the last refill; none if the clock went backwards."""
        if self._refilled_at is None:
            self._refilled_at = now
        elif now > self._refilled_at:
            added = (now - self._refilled_at) * self._refill_per_s
            self._tokens = min(self._capacity, self._tokens + added)
            self._refilled_at = now

    def holds(self, amount: float) -> bool:
        """Returns whether the bucket holds the amount."""
        return amount <= self._tokens or amount == 0.0

    def take(self, amount: float) -> None:
        """Removes the amount; the number of tokens may become negative."""
        self._tokens -= amount
