"""Slots that a server reserves for requests whose offer it has accepted.

Load pattern: a surge of uploads whose offers all arrive before the first body. Without a count
of the reservations, all offers are accepted and most of the requests wait too long.
"""

import collections

_LIFETIME_S = 0.5
"""Seconds until an unused reservation expires: 60 kB take 0.1 s on a link of 5 Mbit/s, and other
bodies may be in transit on it."""


class Reservations:
    """Counts the reservations that are neither used nor expired."""

    def __init__(self) -> None:
        self._until_s: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        """Adds one reservation."""
        self._until_s.append(now + _LIFETIME_S)

    def use(self, now: float) -> None:
        """Removes the oldest reservation, because its request has arrived."""
        if self.count(now):
            self._until_s.popleft()

    def count(self, now: float) -> int:
        """Returns the number of reservations in force."""
        while self._until_s and self._until_s[0] < now:
            self._until_s.popleft()
        return len(self._until_s)
