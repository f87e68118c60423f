"""Interval between the health checks of a server.

Load pattern: a server whose health checks are answered with bytes that are no answer, at once and
without end. Each check costs a connection and up to the limit of an answer and tells nothing, so
the interval doubles until one is answered properly.
"""

import math


class CheckInterval:
    """Spaces health checks, and spaces them wider while their answers are invalid.

    Args:
        min_s: shortest time between two checks in seconds.
        max_s: longest time between two checks in seconds.
    """

    def __init__(self, *, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._interval_s = min_s
        self._started_s = -math.inf

    def is_due(self, now: float) -> bool:
        """Returns whether a check may start."""
        return now - self._started_s >= self._interval_s

    def observe_start(self, now: float) -> None:
        """Records that a check starts."""
        self._started_s = now

    def observe_answer(self) -> None:
        """Records a valid answer."""
        self._interval_s = self._min_s

    def observe_invalid_answer(self) -> None:
        """Records an answer that cannot be used; a check without any answer is not recorded."""
        self._interval_s = min(self._interval_s * 2, self._max_s)
