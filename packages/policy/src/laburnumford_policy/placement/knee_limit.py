"""How many requests a server should run at the same time.

Answers the load pattern of saturation on servers that slow down when they are nearly full:
there the last slots cost more than they add. Servers without such a knee, and those with few
slots, are worth filling, so the knee has to be seen before the limit is lowered.
"""

import dataclasses

_NEARLY_FULL = 0.8
"""Share of the slots above which a server may slow down."""

_MIN_SAMPLES = 15
"""Runs on each side; fewer give a quantile that jumps."""

_MARGIN = 1.1
"""Times differ for other reasons too; a small loss is no reason to leave slots empty."""

_QUANTILE = 0.25
"""The shorter runs do not contain waits for calls that the server itself makes."""

_STEP = 0.08
"""Share by which one run moves the quantile."""

_CAUTION_S = 4.0
"""Seconds; servers are cold for about three."""

_CAUTION_COST = 0.25
"""A server that has just started is slow and meets a backlog. Where it costs at most this
share of the slots, it is not filled beyond a possible knee for the first seconds."""

_FORGET_S = 8.0
"""Without a run on a nearly full server for this long, the knee is looked for again."""


@dataclasses.dataclass(slots=True)
class _RunTimes:
    """Low quantile of the run times of one kind of work, below and above the knee."""

    below_s: float = 0.0
    below_count: int = 0
    above_s: float = 0.0
    above_count: int = 0
    above_at_s: float = 0.0


class KneeLimit:
    """Learns whether a nearly full server takes longer than its last slots are worth.

    Args:
        slots: requests that the server accepts at the same time.
    """

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self._times_by_key: dict[str, _RunTimes] = {}
        self._first_run_s: float | None = None

    @property
    def knee(self) -> int:
        """Most running requests below the knee."""
        return max(int(self.slots * _NEARLY_FULL), 1)

    def observe(self, *, now: float, running: int, work_key: str, work_s: float) -> None:
        """Takes the time of a run on an otherwise undisturbed server.

        Args:
            now: time of its end.
            running: requests that ran at its start, itself included.
            work_key: kind of work.
            work_s: its time.
        """
        if self._first_run_s is None:
            self._first_run_s = now
        times = self._times_by_key.setdefault(work_key, _RunTimes())
        if running <= self.knee:
            times.below_s = _quantile(times.below_s, times.below_count, work_s)
            times.below_count += 1
        else:
            times.above_s = _quantile(times.above_s, times.above_count, work_s)
            times.above_count += 1
            times.above_at_s = now

    def limit(self, now: float) -> int:
        """Returns how many requests should run."""
        cautious = self._first_run_s is None or now - self._first_run_s < _CAUTION_S
        if cautious and self.slots - self.knee <= self.slots * _CAUTION_COST:
            return self.knee
        needed = _MARGIN * self.slots / self.knee
        for times in self._times_by_key.values():
            if times.above_count and now - times.above_at_s > _FORGET_S:
                times.above_count = 0
            known = min(times.below_count, times.above_count) >= _MIN_SAMPLES
            if known and times.above_s > needed * times.below_s:
                return self.knee
        return self.slots


def _quantile(known: float, count: int, value: float) -> float:
    """Returns the running estimate of a quantile after one more value."""
    if not count:
        return value
    step = known * _STEP
    return known + step * (_QUANTILE if value > known else _QUANTILE - 1.0)
