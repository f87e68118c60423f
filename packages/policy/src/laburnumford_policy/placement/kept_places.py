"""Places that a server keeps for requests it has promised to take.

Answers the load pattern of a surge of uploads whose offers all arrive before the first body:
without a count of the promises, all of them are accepted and most wait too long.
"""

import collections

_HOLD_S = 0.5
"""Seconds that a place is kept for an accepted request: 60 kB take 0.1 s on a link of 5 Mbit/s,
and other bodies may be on their way over it."""


class KeptPlaces:
    """Counts the promises that are neither used nor out of time."""

    def __init__(self) -> None:
        self._until_s: collections.deque[float] = collections.deque()

    def keep(self, now: float) -> None:
        """Keeps one more place."""
        self._until_s.append(now + _HOLD_S)

    def use(self, now: float) -> None:
        """Gives up the oldest place, because its request has arrived."""
        if self.count(now):
            self._until_s.popleft()

    def count(self, now: float) -> int:
        """Returns how many places are kept."""
        while self._until_s and self._until_s[0] < now:
            self._until_s.popleft()
        return len(self._until_s)
