"""Limit and counters of reads."""

import collections


class ReadLimit:
    """Admits at most a number of reads in any second, and counts them.

    Args:
        reads_per_s: reads admitted in any window of one second.
    """

    def __init__(self, *, reads_per_s: int) -> None:
        self.reads_per_s = reads_per_s
        self.admitted = 0
        self.refused = 0
        self.peak_per_s = 0
        self._window: collections.deque[float] = collections.deque()
        self._attempts: collections.deque[float] = collections.deque()

    def admit(self, now: float) -> bool:
        """Returns whether a read at `now` (seconds, monotonic) is within the limit."""
        for window in (self._window, self._attempts):
            while window and window[0] <= now - 1.0:
                window.popleft()
        self._attempts.append(now)
        self.peak_per_s = max(self.peak_per_s, len(self._attempts))
        if len(self._window) >= self.reads_per_s:
            self.refused += 1
            return False
        self._window.append(now)
        self.admitted += 1
        return True
