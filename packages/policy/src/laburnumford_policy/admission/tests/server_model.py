"""Seeded simulation of a backend server behind an `Admission`.

The server has as many cores as slots and shares them between its running requests. A slowdown
of the kind ``shared`` takes cores away, so more running requests do not increase the
throughput. One of the kind ``latency`` lengthens each request, however many are running.
"""

import collections
import dataclasses
import math
import random

from laburnumford_policy.admission import admission, entry, outcome
from laburnumford_policy.choice import result

MEAN_SERVICE_S = 0.02
# Time from the arrival of a request to its deadline, by priority.
TIMEOUT_S_BY_PRIORITY = {"lookup": 0.2, "booking": 0.5, "upload": 1.0, "statement": 5.0}
ARRIVAL_SHARE_BY_PRIORITY = {"lookup": 0.5, "booking": 0.2, "upload": 0.2, "statement": 0.1}
_EXPIRE_INTERVAL_S = 0.01


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """Arrivals at the server and a slowdown of it.

    `load` is the arrival rate as a multiple of the capacity, `slowdown` the factor by which the
    server is slower, `spread` the sigma of the lognormal work of a request, and
    `work_by_priority` the mean work of a priority as a multiple of `MEAN_SERVICE_S`.
    """

    slots: int = 12
    load: float = 0.7
    slow_from_s: float = math.inf
    slow_until_s: float = math.inf
    slowdown: float = 10.0
    kind: str = "shared"
    length_s: float = 10.0
    spread: float = 0.5
    work_by_priority: dict[str, float] = dataclasses.field(default_factory=dict)
    cancel_at_deadline: bool = False

    @property
    def mean_work_s(self):
        """Mean work of a request in seconds."""
        return MEAN_SERVICE_S * sum(
            share * self.work_by_priority.get(name, 1.0)
            for name, share in ARRIVAL_SHARE_BY_PRIORITY.items()
        )


@dataclasses.dataclass(kw_only=True)
class Outcomes:
    """Results of one run: counts of requests by outcome, latencies and limits."""

    arrived: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    in_time: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    work_in_time_s: float = 0.0
    late: int = 0
    dropped: int = 0
    refused: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    latencies_s: list[float] = dataclasses.field(default_factory=list)
    limits: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    in_time_while_slow: int = 0
    most_running: int = 0
    started_expired: int = 0

    def goodput(self, scenario):
        """Returns the answers in time, weighted by mean work, as a share of the capacity."""
        work_s = sum(
            count * MEAN_SERVICE_S * scenario.work_by_priority.get(name, 1.0)
            for name, count in self.in_time.items()
        )
        return work_s / (scenario.slots * scenario.length_s)

    def work_share(self, scenario):
        """Returns the actual work of the answers in time as a share of the capacity."""
        return self.work_in_time_s / (scenario.slots * scenario.length_s)

    def lookup_quantile_s(self, quantile):
        """Returns a quantile of the latency of lookups that ran, in seconds."""
        ordered = sorted(self.latencies_s) or [math.nan]
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]

    def recovery_s(self, scenario):
        """Returns the seconds from the end of the slowdown until the limit equals the slots."""
        back = [t for t, n in self.limits if t >= scenario.slow_until_s and n == scenario.slots]
        return back[0] - scenario.slow_until_s if back else math.inf


class _Run:
    """A running request, its start and its remaining work in seconds."""

    def __init__(self, request, start, work_s):
        self.request, self.start, self.remaining_work_s = request, start, work_s


class Model:
    """Simulates one scenario with one `Admission`."""

    def __init__(self, scenario, seed, **parameters):
        self._scenario = scenario
        self._random = random.Random(seed)
        self._admission = admission.Admission(slots=scenario.slots, **parameters)
        self._running: list[_Run] = []
        self._requests = {}
        self.outcomes = Outcomes()

    def run(self):
        """Runs the scenario and returns the outcomes."""
        scenario, now, arrival_at, expire_at = self._scenario, 0.0, 0.0, 0.0
        changes = [scenario.slow_from_s, scenario.slow_until_s, math.inf]
        rate = scenario.load * scenario.slots / scenario.mean_work_s
        while now < scenario.length_s:
            speed = self._speed(now)
            next_end_s = (
                min((run.remaining_work_s for run in self._running), default=math.inf) / speed
            )
            slowdown_change_at = min(at for at in changes if at > now)
            next_event_at = min(arrival_at, now + next_end_s, slowdown_change_at, expire_at)
            for run in self._running:
                run.remaining_work_s -= (next_event_at - now) * speed
            now = next_event_at
            if now >= arrival_at:
                self._arrive(now)
                arrival_at = now + self._random.expovariate(rate)
            if now >= expire_at:
                self._apply(self._admission.expire(now), now)
                expire_at = now + _EXPIRE_INTERVAL_S
            for run in [run for run in self._running if run.remaining_work_s <= 1e-12]:
                self._end(run, now, result.Result.ANSWERED)
            if scenario.cancel_at_deadline:
                for run in [run for run in self._running if run.request.deadline <= now]:
                    self._end(run, now, result.Result.CANCELLED)
        return self.outcomes

    def _slow(self, now):
        return self._scenario.slow_from_s <= now < self._scenario.slow_until_s

    def _speed(self, now):
        slowdown = self._scenario.slowdown if self._slow(now) else 1.0
        if self._scenario.kind == "latency":
            return 1.0 / slowdown
        return min(1.0, self._scenario.slots / slowdown / max(1, len(self._running)))

    def _arrive(self, now):
        priority = self._random.choices(
            tuple(ARRIVAL_SHARE_BY_PRIORITY), tuple(ARRIVAL_SHARE_BY_PRIORITY.values())
        )[0]
        request_id = len(self._requests)
        request = entry.Entry(
            entry_id=request_id, priority=priority, deadline=now + TIMEOUT_S_BY_PRIORITY[priority]
        )
        spread = self._scenario.spread
        work_s = MEAN_SERVICE_S * self._random.lognormvariate(-spread * spread / 2, spread)
        work_s *= self._scenario.work_by_priority.get(priority, 1.0)
        self._requests[request_id] = (request, now, work_s)
        self.outcomes.arrived[priority] += 1
        decision = self._admission.admit(request, now)
        if decision.outcome is outcome.Outcome.RUN:
            self._start(request_id, now)
        elif decision.outcome is outcome.Outcome.REFUSED:
            self.outcomes.refused[priority] += 1
        for shed in decision.shed:
            self.outcomes.refused[self._requests[shed][0].priority] += 1

    def _start(self, request_id, now):
        request, _, work_s = self._requests[request_id]
        self.outcomes.started_expired += request.deadline <= now
        self._running.append(_Run(request, now, work_s))
        self.outcomes.most_running = max(self.outcomes.most_running, len(self._running))

    def _end(self, run, now, ended):
        self._running.remove(run)
        if ended is result.Result.ANSWERED and now <= run.request.deadline:
            self.outcomes.work_in_time_s += self._requests[run.request.entry_id][2]
            self.outcomes.in_time[run.request.priority] += 1
            self.outcomes.in_time_while_slow += self._slow(now)
        else:
            self.outcomes.late += 1
        if run.request.priority == "lookup":
            self.outcomes.latencies_s.append(now - self._requests[run.request.entry_id][1])
        changes = self._admission.release(
            now, now - run.start, ended, priority=run.request.priority
        )
        self.outcomes.limits.append((now, self._admission.report().limit))
        self._apply(changes, now)

    def _apply(self, changes, now):
        self.outcomes.dropped += len(changes.dropped)
        for request_id in changes.started:
            self._start(request_id, now)
