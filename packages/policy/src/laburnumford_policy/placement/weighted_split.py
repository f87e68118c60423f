"""Distributes requests among services in proportion to their weights."""

from collections.abc import Sequence


class WeightedSplit:
    """Smooth weighted round robin: each service's share is exact after any number of requests.

    Args:
        names: names of the services.
        weights: their weights, in the same order.
        offset: number of requests to skip, so that nodes do not select in lockstep.
    """

    def __init__(self, names: Sequence[str], weights: Sequence[float], offset: int = 0) -> None:
        self._names = tuple(names)
        self._weights = tuple(weights)
        self._total = sum(weights)
        self._credits = [0.0] * len(self._names)
        for _ in range(offset):
            self.choose()

    def choose(self) -> str:
        """Returns the name of the service that gets the next request."""
        for index, weight in enumerate(self._weights):
            self._credits[index] += weight
        best = max(range(len(self._names)), key=self._credits.__getitem__)
        self._credits[best] -= self._total
        return self._names[best]
