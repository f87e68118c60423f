"""Check whether a decreased limit costs answers."""

_SAMPLES = 30
# A server that shares its cores ends as many requests at either limit.
_GAIN = 1.5
_PAUSE_S = 30.0


class DecreaseCheck:
    """Detects a slow server whose service time does not depend on its running requests.

    Such a server waits for something else, for example for a call that it made. Fewer
    running requests then only mean fewer answers. The check measures the rate of ends at
    a low limit, then at all slots, and keeps the slots if the rate is clearly higher.

    Args:
        slots: number of requests that the server runs at once.
        tolerance: slowdown that counts as normal.
    """

    def __init__(self, *, slots: int, tolerance: float) -> None:
        self._slots = slots
        self._tolerance = tolerance
        self._low_rate = 0.0
        self._probing = False
        self._keeping = False
        self._count = 0
        self._counted_from = 0.0
        self._next_probe = float("-inf")

    def useless(self, now: float, limit: float, slowdown: float) -> bool:
        """Takes one sample and returns whether the limit should be at the slots."""
        if slowdown <= self._tolerance:
            self._restart(now, probing=False)
            self._keeping = False
            return False
        if self._keeping:
            self._keeping = now < self._next_probe
            return self._keeping
        self._count += 1
        if self._probing:
            return self._probe(now)
        if limit > self._slots / 2 or now < self._next_probe:
            self._restart(now, probing=False)
        elif self._count >= _SAMPLES:
            self._low_rate = self._rate(now)
            self._restart(now, probing=True)
        return self._probing

    def _probe(self, now: float) -> bool:
        # The first requests of the probe end together and still ran with few others.
        if self._count == self._slots:
            self._counted_from = now
        if self._count < 3 * self._slots:
            return True
        self._count -= self._slots
        self._keeping = self._rate(now) >= _GAIN * self._low_rate
        self._next_probe = now + _PAUSE_S
        self._restart(now, probing=False)
        return self._keeping

    def _rate(self, now: float) -> float:
        return self._count / max(now - self._counted_from, 1e-6)

    def _restart(self, now: float, *, probing: bool) -> None:
        self._probing = probing
        self._count = 0
        self._counted_from = now
