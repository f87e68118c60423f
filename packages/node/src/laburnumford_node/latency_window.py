"""Recent latencies of one service."""

import collections

_SAMPLES = 256
# Sorting at each observation would cost more than the choice of a server.
_INTERVAL = 32
_SHARE = 0.95


class LatencyWindow:
    """Keeps the latest latencies and their 95th percentile."""

    def __init__(self) -> None:
        self._latencies_s: collections.deque[float] = collections.deque(maxlen=_SAMPLES)
        self._count = 0
        self.p95_s = 0.0

    def observe(self, latency_s: float) -> None:
        """Takes the latency of one answer in seconds; `p95_s` follows every 32 answers."""
        self._latencies_s.append(latency_s)
        self._count += 1
        if self._count % _INTERVAL == 0:
            ordered = sorted(self._latencies_s)
            self.p95_s = ordered[int(_SHARE * len(ordered))]
