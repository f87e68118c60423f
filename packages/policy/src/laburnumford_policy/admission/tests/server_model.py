"""Seeded model of a backend server behind an Admission.

The server shares `cores` between its running requests, so it does not get faster by
running more of them than it has cores. It slows down by losing cores (``shared``) or
because each request takes longer however many run (``latency``).
"""

import collections
import dataclasses
import math
import random

from laburnumford_policy.admission import admission, entry, outcome
from laburnumford_policy.choice import result

SERVICE_S = 0.02
# Seconds from arrival to deadline and share of the arrivals.
DEADLINE_S = {"lookup": 0.2, "booking": 0.5, "upload": 1.0, "statement": 5.0}
MIX = {"lookup": 0.5, "booking": 0.2, "upload": 0.2, "statement": 0.1}
_EXPIRE_INTERVAL_S = 0.01


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """What happens to the server: arrivals in multiples of its capacity, and a slowdown."""

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
        return SERVICE_S * sum(
            share * self.work_by_priority.get(name, 1.0) for name, share in MIX.items()
        )


@dataclasses.dataclass(kw_only=True)
class Outcomes:
    """Counts of what became of the requests."""

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
        """Returns answers in time, each by the mean work of its priority, by capacity."""
        work_s = sum(
            count * SERVICE_S * scenario.work_by_priority.get(name, 1.0)
            for name, count in self.in_time.items()
        )
        return work_s / (scenario.slots * scenario.length_s)

    def work_share(self, scenario):
        """Returns the actual work of the answers in time as a share of the capacity."""
        return self.work_in_time_s / (scenario.slots * scenario.length_s)

    def lookup_quantile_s(self, quantile):
        """Returns a quantile of the latency of lookups that were answered, in seconds."""
        ordered = sorted(self.latencies_s) or [math.nan]
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]

    def recovery_s(self, scenario):
        """Returns seconds from the end of the slowdown until the limit is at the slots."""
        back = [t for t, n in self.limits if t >= scenario.slow_until_s and n == scenario.slots]
        return back[0] - scenario.slow_until_s if back else math.inf


class _Run:
    def __init__(self, request, start, work_s):
        self.request, self.start, self.left_s = request, start, work_s


class Model:
    """Drives one Admission through a scenario."""

    def __init__(self, scenario, seed, **parameters):
        self._scenario = scenario
        self._random = random.Random(seed)
        self._admission = admission.Admission(slots=scenario.slots, **parameters)
        self._running: list[_Run] = []
        self._requests = {}
        self.outcomes = Outcomes()

    def run(self):
        """Runs the scenario and returns the outcomes."""
        scenario, now, arrival, tick = self._scenario, 0.0, 0.0, 0.0
        changes = [scenario.slow_from_s, scenario.slow_until_s, math.inf]
        rate = scenario.load * scenario.slots / scenario.mean_work_s
        while now < scenario.length_s:
            speed = self._speed(now)
            ending = min((run.left_s for run in self._running), default=math.inf) / speed
            change = min(at for at in changes if at > now)
            step_to = min(arrival, now + ending, change, tick)
            for run in self._running:
                run.left_s -= (step_to - now) * speed
            now = step_to
            if now >= arrival:
                self._arrive(now)
                arrival = now + self._random.expovariate(rate)
            if now >= tick:
                self._apply(self._admission.expire(now), now)
                tick = now + _EXPIRE_INTERVAL_S
            for run in [run for run in self._running if run.left_s <= 1e-12]:
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
        priority = self._random.choices(tuple(MIX), tuple(MIX.values()))[0]
        number = len(self._requests)
        request = entry.Entry(
            entry_id=number, priority=priority, deadline=now + DEADLINE_S[priority]
        )
        spread = self._scenario.spread
        work_s = SERVICE_S * self._random.lognormvariate(-spread * spread / 2, spread)
        work_s *= self._scenario.work_by_priority.get(priority, 1.0)
        self._requests[number] = (request, now, work_s)
        self.outcomes.arrived[priority] += 1
        verdict = self._admission.admit(request, now)
        if verdict.outcome is outcome.Outcome.RUN:
            self._start(number, now)
        elif verdict.outcome is outcome.Outcome.REFUSED:
            self.outcomes.refused[priority] += 1
        for shed in verdict.shed:
            self.outcomes.refused[self._requests[shed][0].priority] += 1

    def _start(self, number, now):
        request, _, work_s = self._requests[number]
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
        for number in changes.started:
            self._start(number, now)
