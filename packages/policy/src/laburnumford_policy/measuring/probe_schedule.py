"""Schedule by which the adjacent node probes its backend server."""

import random

from laburnumford_policy.measuring import _parameters, cost, measuring_budget

_PARAMETER_RANGES = {"gap_s": (0.001, 3600.0), "jitter_share": (0.0, 1.0)}


class ProbeSchedule:
    """Schedules a probe after each gap without a call, and never above the budget.

    Args:
        generator: source of random numbers.
        budget: measuring budget of the server.
        cost: cost of one probe.
        gap_s: time without a call after which a probe is due, in seconds.
        jitter_share: upper bound of the random share by which each gap is longer, so that the nodes
            do not probe at the same time after a common failure.

    Raises:
        MeasuringParameterError: a parameter is not a number or lies outside its range.
    """

    def __init__(
        self,
        *,
        generator: random.Random,
        budget: measuring_budget.MeasuringBudget,
        cost: cost.Cost,
        gap_s: float = 1.0,
        jitter_share: float = 0.5,
    ) -> None:
        _parameters.check(
            "probe schedule", _PARAMETER_RANGES, {"gap_s": gap_s, "jitter_share": jitter_share}
        )
        self._generator = generator
        self._budget = budget
        self._cost = cost
        self._gap_s = gap_s
        self._jitter_share = jitter_share
        self._wait_s = self._draw_wait_s()
        self._gap_started_at: float | None = None

    def observe_call(self, now: float) -> None:
        """Records that a call to the server ended; a probe is due only a gap after it."""
        if self._gap_started_at is None:
            self._start_gap(now)
        elif now > self._gap_started_at:
            self._gap_started_at = now

    def due_at(self, now: float) -> float:
        """Returns the time at which to call `admit` next; the first gap starts at `now`."""
        started_at = self._start_gap(now) if self._gap_started_at is None else self._gap_started_at
        return started_at + self._wait_s

    def admit(self, now: float) -> bool:
        """Returns whether to send a probe now, and charges its cost to the budget.

        A refused probe is tried again after another gap.
        """
        if now < self.due_at(now):
            return False
        self._gap_started_at = now
        self._wait_s = self._draw_wait_s()
        return self._budget.admit(self._cost, now)

    def _start_gap(self, now: float) -> float:
        # Starts the refill of the budget, which would be empty when the first probe is due.
        self._budget.refill(now)
        self._gap_started_at = now
        return now

    def _draw_wait_s(self) -> float:
        return self._gap_s * (1.0 + self._jitter_share * self._generator.random())
