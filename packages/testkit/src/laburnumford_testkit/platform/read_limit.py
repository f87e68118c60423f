"""Rate limit and counters of reads."""

import collections


class ReadLimit:
    """Limits the reads in any window of one second, and counts them.

    Args:
        reads_per_s: maximum of reads admitted in any window of one second.

    Attributes:
        admitted: number of reads admitted.
        refused: number of reads refused.
        peak_per_s: most reads in a window of one second, refused ones included.
    """

    def __init__(self, *, reads_per_s: int) -> None:
        self.reads_per_s = reads_per_s
        self.admitted = 0
        self.refused = 0
        self.peak_per_s = 0
        self._admitted_at: collections.deque[float] = collections.deque()
        self._attempted_at: collections.deque[float] = collections.deque()

    def admit(self, now: float) -> bool:
        """Counts a read at `now` (monotonic seconds); returns whether it is within the limit."""
        for window in (self._admitted_at, self._attempted_at):
            while window and window[0] <= now - 1.0:
                window.popleft()
        self._attempted_at.append(now)
        self.peak_per_s = max(self.peak_per_s, len(self._attempted_at))
        if len(self._admitted_at) >= self.reads_per_s:
            self.refused += 1
            return False
        self._admitted_at.append(now)
        self.admitted += 1
        return True
