"""Shares of their requests that request classes are served, to keep any from starving.

Load pattern: a class of high priority whose demand alone exceeds the capacity, or a class that
floods a server next to many others. Strict priorities would serve the classes below nothing, and
equal shares would serve the flooding class almost nothing of what it asks for. Each class is
served at least a quarter as often as all.
"""

import math

from laburnumford_policy.placement import caller_timeouts, class_counts

_FLOOR = 0.3
"""Ratio to that of all classes below which a class counts as starving. The guaranteed ratio is
0.25; the rest makes up for requests that are accepted but not served."""

_PRIORITY_MARGIN = 0.02
"""Difference of two ratios up to which classes count as equally served. Ratios of a few dozen
requests differ by more than one request."""

_MIN_REQUESTS = 4.0
"""Weighted number of requests below which a ratio says nothing."""

_NEW_REQUEST_SHARE = 0.95
"""Share of the largest remaining time of a class from which a request counts as new. With 0.8, a
class whose callers return after 20 ms of 1 s is counted ten times, and took 3 % of the requests in
time from a class of higher priority (load "two priorities" of the tests, seed 1)."""

_MAX_CLASSES = 1_000
"""Bound on the request classes that are kept; a class is the name of a configured route."""


class ServedRatios:
    """Counts the requests of each class that arrived and those that were accepted.

    A request that returns after a refusal is not counted again. Otherwise a class whose callers
    return at once would count as starving and take the places of others.
    """

    def __init__(self) -> None:
        self._timeouts = caller_timeouts.CallerTimeouts(new_request_share=_NEW_REQUEST_SHARE)
        self._counts_by_class: dict[str, class_counts.ClassCounts] = {}
        self._all = class_counts.ClassCounts(priority=0)

    def observe_arrival(
        self, request_class: str, priority: int, remaining_s: float, now: float
    ) -> bool:
        """Records a request that has arrived; returns whether it is new.

        Args:
            request_class: name of its route.
            priority: priority of its route.
            remaining_s: time until its deadline, by which returning requests are told.
            now: current time.
        """
        counts = self._counts_by_class.get(request_class)
        if counts is None:
            if len(self._counts_by_class) >= _MAX_CLASSES:
                return True
            counts = self._counts_by_class[request_class] = class_counts.ClassCounts(
                priority=priority
            )
        counts.priority = priority
        if self._timeouts.elapsed_s(now, request_class, remaining_s):
            return False
        for each in (counts, self._all):
            each.observe(now, arrived=1.0, accepted=0.0)
        return True

    def observe_accepted(self, request_class: str, now: float, *, withdrawn: bool = False) -> None:
        """Records that a request was accepted, or that an accepted one will not run after all."""
        counts = self._counts_by_class.get(request_class)
        if counts is not None:
            for each in (counts, self._all):
                each.observe(now, arrived=0.0, accepted=-1.0 if withdrawn else 1.0)

    def is_starving(self, request_class: str) -> bool:
        """Returns whether a class is served far less often than all classes together."""
        counts = self._counts_by_class.get(request_class)
        if counts is None or counts.arrived < _MIN_REQUESTS:
            return False
        return counts.ratio < _FLOOR * self._all.ratio

    def effective_priority(self, request_class: str, priority: int) -> int:
        """Returns the priority at which a request is queued.

        A starving class is raised to the nearest higher priority that has a class which is served
        at least as often as all. Classes between the two are served by the same means, so they
        have nothing to give. The starving class is lowered again at the floor, well below the
        ratio of the class that gives.
        """
        if not self.is_starving(request_class):
            return priority
        higher = [
            counts.priority
            for counts in self._counts_by_class.values()
            if counts.priority < priority and counts.ratio >= self._all.ratio
        ]
        found = max(higher, default=-math.inf)
        return priority if math.isinf(found) else int(found)

    def must_yield(self, request_class: str, priority: int) -> bool:
        """Returns whether a class is served better than one of a higher priority.

        A class of a higher priority may have less time to wait, so that it finds no room in a
        queue in which one of a lower priority still does.
        """
        counts = self._counts_by_class.get(request_class)
        if counts is None or self.is_starving(request_class):
            return False
        return any(
            other.priority < priority
            and other.arrived >= _MIN_REQUESTS
            and counts.ratio > other.ratio + _PRIORITY_MARGIN
            for other in self._counts_by_class.values()
        )
