"""Concurrency limit of a server: how many requests it should run at the same time.

Load pattern: saturation of servers whose service times rise when nearly all slots are in use.
On such a server the last slots cost more throughput than they add. On servers without such a
saturation knee, and on those with few slots, all slots are worth using, so the limit is lowered
only after the knee was observed.
"""

import dataclasses

_KNEE_SLOT_SHARE = 0.8
"""Share of the slots above which service times may rise."""

_MIN_SAMPLES_PER_SIDE = 15
"""Runs below and above the knee; the estimated quantile of fewer runs is unstable."""

_SLOWDOWN_MARGIN = 1.1
"""Service times differ for other reasons too; a small loss does not justify unused slots."""

_SERVICE_TIME_QUANTILE = 0.25
"""A low quantile, because the shorter runs do not include waits for calls that the server makes."""

_QUANTILE_STEP_SHARE = 0.08
"""Share of the quantile by which one run moves it."""

_STARTUP_S = 4.0
"""Seconds after the first run in which a server counts as starting; servers are cold for about
three."""

_MAX_STARTUP_SLOT_LOSS_SHARE = 0.25
"""A server that has just started is slow and receives a backlog. If staying below a possible knee
costs at most this share of the slots, the server is not filled beyond it during startup."""

_KNEE_EVIDENCE_LIFETIME_S = 8.0
"""Seconds without a run above the knee after which its samples are dropped and the knee is
searched for again."""


@dataclasses.dataclass(slots=True)
class _ServiceTimes:
    """Low quantile of the service times of one request class, below and above the knee."""

    below_s: float = 0.0
    below_count: int = 0
    above_s: float = 0.0
    above_count: int = 0
    last_above_s: float = 0.0


class KneeLimit:
    """Learns whether a nearly full server loses more speed than its last slots add.

    Args:
        slots: requests that the server accepts at the same time.
    """

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self._times_by_class: dict[str, _ServiceTimes] = {}
        self._first_run_s: float | None = None

    @property
    def knee(self) -> int:
        """The highest number of running requests below the knee."""
        return max(int(self.slots * _KNEE_SLOT_SHARE), 1)

    def observe(
        self, *, now: float, running: int, request_class: str, service_time_s: float
    ) -> None:
        """Records the service time of a run on a server at normal speed.

        Args:
            now: time at which the run ended.
            running: requests that ran at its start, itself included.
            request_class: key by which service times are learned.
            service_time_s: service time of the run in seconds.
        """
        if self._first_run_s is None:
            self._first_run_s = now
        times = self._times_by_class.setdefault(request_class, _ServiceTimes())
        if running <= self.knee:
            times.below_s = _quantile(times.below_s, times.below_count, service_time_s)
            times.below_count += 1
        else:
            times.above_s = _quantile(times.above_s, times.above_count, service_time_s)
            times.above_count += 1
            times.last_above_s = now

    def limit(self, now: float) -> int:
        """Returns how many requests should run at the same time."""
        starting = self._first_run_s is None or now - self._first_run_s < _STARTUP_S
        if starting and self.slots - self.knee <= self.slots * _MAX_STARTUP_SLOT_LOSS_SHARE:
            return self.knee
        min_ratio = _SLOWDOWN_MARGIN * self.slots / self.knee
        for times in self._times_by_class.values():
            if times.above_count and now - times.last_above_s > _KNEE_EVIDENCE_LIFETIME_S:
                times.above_count = 0
            known = min(times.below_count, times.above_count) >= _MIN_SAMPLES_PER_SIDE
            if known and times.above_s > min_ratio * times.below_s:
                return self.knee
        return self.slots


def _quantile(known: float, count: int, value: float) -> float:
    """Returns the running estimate of the quantile after one more value."""
    if not count:
        return value
    step = known * _QUANTILE_STEP_SHARE
    return known + step * (
        _SERVICE_TIME_QUANTILE if value > known else _SERVICE_TIME_QUANTILE - 1.0
    )
