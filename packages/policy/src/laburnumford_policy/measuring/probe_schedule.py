"""Decides when the adjacent node probes its own backend server."""

import random

from laburnumford_policy.measuring import _parameters, cost, measuring_budget

_PARAMETERS = {"gap_s": (0.001, 3600.0), "jitter_share": (0.0, 1.0)}


class ProbeSchedule:
    """Asks for a probe only if no call was seen for a gap, and never above the budget.

    Args:
        generator: random generator of the process.
        budget: budget of the server.
        cost: cost of one probe.
        gap_s: time without a call after which a probe is due, in seconds.
        jitter_share: each gap is longer by a random share up to this one, so that the nodes do not
            probe in step after a common failure.

    Raises:
        MeasuringParameterError: a parameter is no number or lies outside its range.
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
            "probe schedule", _PARAMETERS, {"gap_s": gap_s, "jitter_share": jitter_share}
        )
        self._generator = generator
        self._budget = budget
        self._cost = cost
        self._gap_s = gap_s
        self._jitter_share = jitter_share
        self._wait_s = self._draw_wait()
        self._since: float | None = None

    def observe_call(self, now: float) -> None:
        """Records that a call to the server ended, which makes a probe needless."""
        if self._since is None:
            self._start(now)
        elif now > self._since:
            self._since = now

    def due_at(self, now: float) -> float:
        """Returns the time at which to ask `admit` next; `now` starts the first gap."""
        since = self._start(now) if self._since is None else self._since
        return since + self._wait_s

    def admit(self, now: float) -> bool:
        """Returns whether to send a probe now, and takes its cost from the budget.

        A refused probe is tried again after another gap.
        """
        if now < self.due_at(now):
            return False
        self._since = now
        self._wait_s = self._draw_wait()
        return self._budget.admit(self._cost, now)

    def _start(self, now: float) -> float:
        # Otherwise the budget is still empty when the first probe is due.
        self._budget.refill(now)
        self._since = now
        return now

    def _draw_wait(self) -> float:
        return self._gap_s * (1.0 + self._jitter_share * self._generator.random())
