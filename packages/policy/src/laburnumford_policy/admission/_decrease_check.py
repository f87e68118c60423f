"""Check whether a decreased limit reduces the throughput of a server."""

_MIN_RATE_SAMPLES = 30  # Completed requests before the rate at a low limit is taken.
# A server limited by its cores completes requests at the same rate at either limit, so a
# clear gain shows that the decreased limit is what reduces the throughput.
_MIN_RATE_GAIN = 1.5
_PROBE_INTERVAL_S = 30.0


class DecreaseCheck:
    """Detects a slow server whose service time does not depend on its concurrency.

    Such a server waits for something else, for example for a call that it made, and a lower
    limit then only reduces its throughput. The check measures the completion rate at a low
    limit, then with the limit at all slots, and leaves the limit there if the rate is
    clearly higher.

    Args:
        slots: number of requests that the server runs at once.
        tolerance: slowdown up to which a server counts as normal.
    """

    def __init__(self, *, slots: int, tolerance: float) -> None:
        self._slots = slots
        self._tolerance = tolerance
        self._low_limit_rate = 0.0
        self._probing = False
        self._keeps_all_slots = False
        self._sample_count = 0
        self._counting_since = 0.0
        self._next_probe_at = float("-inf")

    def should_use_all_slots(self, now: float, limit: float, slowdown: float) -> bool:
        """Counts one completed request and returns whether the limit should be all slots.

        Args:
            now: monotonic time in seconds.
            limit: current concurrency limit.
            slowdown: recent service time divided by the long-term one.
        """
        if slowdown <= self._tolerance:
            self._restart(now, probing=False)
            self._keeps_all_slots = False
            return False
        if self._keeps_all_slots:
            self._keeps_all_slots = now < self._next_probe_at
            return self._keeps_all_slots
        self._sample_count += 1
        if self._probing:
            return self._continue_probe(now)
        if limit > self._slots / 2 or now < self._next_probe_at:
            self._restart(now, probing=False)
        elif self._sample_count >= _MIN_RATE_SAMPLES:
            self._low_limit_rate = self._rate(now)
            self._restart(now, probing=True)
        return self._probing

    def _continue_probe(self, now: float) -> bool:
        # The first requests that end during a probe are left out of the rate: they end together
        # and were started under the low limit.
        if self._sample_count == self._slots:
            self._counting_since = now
        if self._sample_count < 3 * self._slots:
            return True
        self._sample_count -= self._slots
        self._keeps_all_slots = self._rate(now) >= _MIN_RATE_GAIN * self._low_limit_rate
        self._next_probe_at = now + _PROBE_INTERVAL_S
        self._restart(now, probing=False)
        return self._keeps_all_slots

    def _rate(self, now: float) -> float:
        return self._sample_count / max(now - self._counting_since, 1e-6)

    def _restart(self, now: float, *, probing: bool) -> None:
        self._probing = probing
        self._sample_count = 0
        self._counting_since = now
