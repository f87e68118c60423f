"""Network round trip to another node, measured with pings on its stream."""

import collections

_INTERVAL_S = 10.0
"""Seconds between two pings for the measurement; 60 streams in use cost about 0.4 KB/s."""

_SAMPLES = 4
"""The shortest of these counts, because a ping may wait behind a body or for a busy process."""


class RoundTrip:
    """Pairs pings with the pongs of one stream, which come in the same order."""

    def __init__(self) -> None:
        self._sent_s: collections.deque[float] = collections.deque()
        self._samples_s: collections.deque[float] = collections.deque(maxlen=_SAMPLES)
        self._last_sent_s = 0.0

    def reset(self) -> None:
        """Forgets the unanswered pings, because the stream was replaced."""
        self._sent_s.clear()

    def is_due(self, now: float) -> bool:
        """Returns whether a ping should be sent to measure again."""
        return not self._sent_s and now - self._last_sent_s >= _INTERVAL_S

    def observe_ping(self, now: float) -> None:
        """Records that a ping was sent."""
        self._sent_s.append(now)
        self._last_sent_s = now

    def observe_pong(self, now: float) -> float | None:
        """Records a pong; returns the round trip in seconds, None for one without a ping."""
        if not self._sent_s:
            return None
        self._samples_s.append(now - self._sent_s.popleft())
        return min(self._samples_s)
