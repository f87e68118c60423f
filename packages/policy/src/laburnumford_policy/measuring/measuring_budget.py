"""Budget for the cost of probing one backend server."""

from laburnumford_policy.measuring import _parameters, _token_bucket, _usage, cost

_PARAMETER_RANGES = {
    "calls_per_s": (0.0, 1e6),
    "bytes_per_s": (0.0, 1e12),
    "cpu_ms_per_s": (0.0, 1e6),
    "burst_share": (0.01, 0.99),
}


class MeasuringBudget:
    """Bounds the cost of probing one backend server, whether it answers or not.

    The adjacent node holds the only budget of its server. In any second, admitted costs stay within
    each of the three rates; the rate of calls is rounded up to a whole number. A cost above the
    burst of a resource is never admitted, and a rate of 0 admits no cost of that resource.

    Args:
        calls_per_s: calls per second.
        bytes_per_s: bytes per second.
        cpu_ms_per_s: processor time of the server in milliseconds per second.
        burst_share: share of each rate that may be spent in one burst.

    Raises:
        MeasuringParameterError: a parameter is not a number or lies outside its range.
    """

    def __init__(
        self,
        *,
        calls_per_s: float,
        bytes_per_s: float,
        cpu_ms_per_s: float,
        burst_share: float = 0.25,
    ) -> None:
        _parameters.check(
            "measuring budget",
            _PARAMETER_RANGES,
            {
                "calls_per_s": calls_per_s,
                "bytes_per_s": bytes_per_s,
                "cpu_ms_per_s": cpu_ms_per_s,
                "burst_share": burst_share,
            },
        )
        # A call cannot be split, so its bucket holds at least one. The bytes and the processor time
        # of one probe must fit into the burst.
        self._calls = _token_bucket.TokenBucket(
            rate=calls_per_s, burst_share=burst_share, min_capacity=1.0
        )
        self._bytes = _token_bucket.TokenBucket(rate=bytes_per_s, burst_share=burst_share)
        self._cpu_ms = _token_bucket.TokenBucket(rate=cpu_ms_per_s, burst_share=burst_share)
        self._usage = _usage.Usage()

    def refill(self, now: float) -> None:
        """Refills the buckets; they start empty at the first call of this or another method."""
        for bucket in (self._calls, self._bytes, self._cpu_ms):
            bucket.refill(now)

    def admit(self, cost: cost.Cost, now: float) -> bool:
        """Charges the cost if all three buckets hold it, and returns whether they did."""
        self.refill(now)
        amounts = self._amounts(cost)
        if not all(bucket.holds(amount) for bucket, amount in amounts):
            return False
        self._charge(cost, now)
        return True

    def observe(self, cost: cost.Cost, now: float) -> None:
        """Charges a cost that became known after the probe; later probes wait for it."""
        self.refill(now)
        self._charge(cost, now)

    def share_used(self, now: float) -> float:
        """Returns the largest share of the three rates that was spent over the last 10 s.

        It exceeds 1 only if the rate allows less than one call in 10 s, or after `observe`.
        """
        buckets = (self._calls, self._bytes, self._cpu_ms)
        sums = self._usage.sums(now)
        shares = [
            spent / (bucket.rate * _usage.WINDOW_S)
            for bucket, spent in zip(buckets, sums, strict=True)
            if bucket.rate > 0.0
        ]
        return max(shares, default=0.0)

    def _amounts(self, cost: cost.Cost) -> tuple[tuple[_token_bucket.TokenBucket, float], ...]:
        return (
            (self._calls, float(cost.calls)),
            (self._bytes, float(cost.bytes)),
            (self._cpu_ms, cost.cpu_ms),
        )

    def _charge(self, cost: cost.Cost, now: float) -> None:
        for bucket, amount in self._amounts(cost):
            bucket.take(amount)
        self._usage.add(cost, now)
