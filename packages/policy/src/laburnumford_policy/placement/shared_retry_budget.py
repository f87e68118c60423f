"""Bound on the requests that reach a service more than once.

Load pattern: a service that fails or slows down. Without a bound, the retries and hedged requests
of all nodes together multiply the load while the service is overloaded. A run that is repeated
makes its calls to other services again, and these count as repeats there, too, although no node can
tell them from other calls.
"""

import collections

_BUCKETS = 10
"""Buckets of a window. The newest one is filled only in part, so the counted time is up to a
tenth shorter than the window."""


class SharedRetryBudget:
    """One node's part of a retry budget that all nodes share.

    The budget of a window is a share of the window's requests plus a fixed slack. Each node
    counts its own requests and uses its part of the slack, so the sum over all nodes stays
    within the common bound without any message between them.

    Args:
        ratio: retries allowed for each request.
        slack: additional retries allowed in a window, for all nodes together.
        window_s: length of the sliding window in seconds.
        bound_share: share of the bound that is used. The other half is left for the calls of
            repeated runs, of which there are as many at most if each run makes one call, and a
            little for nodes that start or stop.
    """

    def __init__(
        self, *, ratio: float, slack: float, window_s: float, bound_share: float = 0.45
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._bucket_s = window_s / _BUCKETS
        self._bound_share = bound_share
        self._node_count = 1
        self._requests: collections.deque[int] = collections.deque([0] * _BUCKETS, _BUCKETS)
        self._retries: collections.deque[int] = collections.deque([0] * _BUCKETS, _BUCKETS)
        self._bucket = 0

    def set_node_count(self, node_count: int) -> None:
        """Sets the number of nodes that share the slack."""
        self._node_count = max(node_count, 1)

    def observe_request(self, now: float) -> None:
        """Counts a request to the service."""
        self._advance(now)
        self._requests[-1] += 1

    def take(self, now: float) -> bool:
        """Counts a retry if the budget allows it; returns whether it does."""
        self._advance(now)
        allowed = self._ratio * sum(self._requests) + self._slack / self._node_count
        if sum(self._retries) + 1 > allowed * self._bound_share:
            return False
        self._retries[-1] += 1
        return True

    def _advance(self, now: float) -> None:
        bucket = int(now / self._bucket_s)
        steps = min(max(bucket - self._bucket, 0), _BUCKETS)
        for _ in range(steps):
            self._requests.append(0)
            self._retries.append(0)
        self._bucket = max(bucket, self._bucket)
