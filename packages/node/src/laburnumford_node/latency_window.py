"""Percentile of the recent latencies of one service."""

import collections

_MAX_SAMPLES = 256
# Sorting the window for every answer would cost more than choosing a server.
_ANSWERS_PER_UPDATE = 32
_QUANTILE = 0.95


class LatencyWindow:
    """Keeps the latest latencies and computes their 95th percentile."""

    def __init__(self) -> None:
        self._latencies_s: collections.deque[float] = collections.deque(maxlen=_MAX_SAMPLES)
        self._count = 0
        self.p95_s = 0.0

    def observe(self, latency_s: float) -> None:
        """Adds the latency of one answer in seconds; every 32 answers, `p95_s` is updated."""
        self._latencies_s.append(latency_s)
        self._count += 1
        if self._count % _ANSWERS_PER_UPDATE == 0:
            ordered = sorted(self._latencies_s)
            self.p95_s = ordered[int(_QUANTILE * len(ordered))]
