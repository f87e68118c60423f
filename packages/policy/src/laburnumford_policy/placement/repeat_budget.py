"""Bound on the requests that reach a service more than once.

Answers the load pattern of a service that fails or slows down: without a bound, repeats and
second attempts of all nodes together multiply the load at the moment when it hurts most.
"""

import collections

_BUCKETS = 10
"""Parts of a window; a tenth more than the window is counted at most."""


class RepeatBudget:
    """One node's share of a budget that all nodes have together.

    The budget of a window is a share of the window's requests and a fixed slack. Each node
    counts its own requests, and takes its part of the slack, so that the sum over the nodes
    keeps the common bound without any message between them.

    Args:
        ratio: repeats allowed for each request.
        slack: repeats of all nodes allowed besides in a window.
        window_s: length of the sliding window in seconds.
        safety: part of the bound that is used; the rest covers nodes that start or stop.
    """

    def __init__(
        self, *, ratio: float, slack: float, window_s: float, safety: float = 0.7
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._width_s = window_s / _BUCKETS
        self._safety = safety
        self._nodes = 1
        self._requests: collections.deque[int] = collections.deque([0] * _BUCKETS, _BUCKETS)
        self._repeats: collections.deque[int] = collections.deque([0] * _BUCKETS, _BUCKETS)
        self._bucket = 0

    def set_nodes(self, nodes: int) -> None:
        """Sets the number of nodes that share the slack."""
        self._nodes = max(nodes, 1)

    def observe_request(self, now: float) -> None:
        """Counts a request to the service."""
        self._advance(now)
        self._requests[-1] += 1

    def take(self, now: float) -> bool:
        """Counts a repeat if the budget allows it; returns whether it does."""
        self._advance(now)
        allowed = self._ratio * sum(self._requests) + self._slack / self._nodes
        if sum(self._repeats) + 1 > allowed * self._safety:
            return False
        self._repeats[-1] += 1
        return True

    def _advance(self, now: float) -> None:
        bucket = int(now / self._width_s)
        steps = min(max(bucket - self._bucket, 0), _BUCKETS)
        for _ in range(steps):
            self._requests.append(0)
            self._repeats.append(0)
        self._bucket = max(bucket, self._bucket)
