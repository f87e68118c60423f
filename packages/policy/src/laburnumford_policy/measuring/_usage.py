"""Probing cost of the last seconds."""

import collections

from laburnumford_policy.measuring import cost

WINDOW_S = 10


class Usage:
    """Sums the cost of the last `WINDOW_S` seconds, one entry a second."""

    def __init__(self) -> None:
        self._costs: collections.deque[tuple[int, float, float, float]] = collections.deque(
            maxlen=WINDOW_S + 1
        )

    def add(self, spent: cost.Cost, now: float) -> None:
        """Adds a cost to the entry of the current second."""
        second = int(now // 1)
        calls, size, cpu_ms = float(spent.calls), float(spent.bytes), spent.cpu_ms
        if self._costs and self._costs[-1][0] >= second:
            second, earlier_calls, earlier_size, earlier_cpu_ms = self._costs.pop()
            calls += earlier_calls
            size += earlier_size
            cpu_ms += earlier_cpu_ms
        self._costs.append((second, calls, size, cpu_ms))

    def sums(self, now: float) -> tuple[float, float, float]:
        """Returns calls, bytes and processor time in ms of the last `WINDOW_S` seconds."""
        oldest = now // 1 - WINDOW_S
        recent = [each for each in self._costs if each[0] > oldest]
        return (
            sum(each[1] for each in recent),
            sum(each[2] for each in recent),
            sum(each[3] for each in recent),
        )
