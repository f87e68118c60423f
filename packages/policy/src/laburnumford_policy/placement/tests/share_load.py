"""Seeded overload of one server, played against three ways to queue its requests.

`python -m laburnumford_policy.placement.tests.share_load SEED...` prints the table of the design
note.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import random
import sys

from laburnumford_policy.placement import fair_admission, work_queue

SLOTS = 4
_WORK_S = 0.05
"""Mean service time; with four slots the server runs 80 requests a second."""

_LONG_WORK_S = 0.15
"""Mean service time of the request class "long"."""

TARGET_S = 0.3
DEADLINE_S = 1.0
DURATION_S = 3.0
RETURN_S = 0.02
"""Time in which a caller that ignores `Retry-After` comes back; one round trip to a caller."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Source:
    """Caller that sends requests.

    Attributes:
        name: name in the results.
        request_class: name of the route.
        vm: VM at which its requests enter.
        first_connection: number of its first connection.
        connections: number of connections that it uses at random.
        priority: priority of the route.
        demand: work of its requests as a share of the capacity.
        returns: whether it repeats a refused request until its deadline.
    """

    name: str
    request_class: str = "k"
    vm: str = "vm"
    first_connection: int = 1
    connections: int = 1
    priority: int = 1
    demand: float = 0.1
    returns: bool = False


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """Results of one source.

    Attributes:
        requests: requests of the source, repetitions not counted.
        attempts: arrivals at the server, repetitions counted.
        in_time: requests answered before the soft deadline.
        in_time_work_s: expected service time of these in seconds.
        served: requests that ran.
        displaced: attempts that were refused while they waited.
        refused_ids: attempts that were refused at any time.
        run_ids: attempts that ran.
    """

    requests: int = 0
    attempts: int = 0
    in_time: int = 0
    in_time_work_s: float = 0.0
    served: int = 0
    displaced: int = 0
    refused_ids: set[int] = dataclasses.field(default_factory=set)
    run_ids: set[int] = dataclasses.field(default_factory=set)

    @property
    def ratio(self):
        """Share of the requests that were answered in time."""
        return self.in_time / max(self.requests, 1)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempt:
    """One arrival of a request at the server."""

    source: Source
    connection: int
    first_s: float


class FirstComeFirstServed:
    """Queue in the order of arrival."""

    def __init__(self):
        self.queue = work_queue.WorkQueue(service_time_s=_work_s)

    def entry(self, attempt, entry_id, now):
        """Returns the queue entry of an attempt."""
        return dataclasses.replace(_entry(attempt, entry_id), priority=0, soft_deadline_s=now)

    def admit(self, attempt, entry, now, running):
        """Returns whether an attempt waits, and the waiting ones that it displaces."""
        del attempt
        ahead = self.queue.count_ahead_of(entry, now)
        return self.queue.should_enqueue(entry, now, _wait_s(entry, running + ahead)), []

    def withdraw(self, entry, now):
        """Is told of a waiting request that is refused."""

    def finish(self, entry_id, now):
        """Is told of the end of a run."""


class PlainPriorities(FirstComeFirstServed):
    """Queue by priority and soft deadline, without shares."""

    def entry(self, attempt, entry_id, now):
        """Returns the queue entry of an attempt."""
        del now
        return _entry(attempt, entry_id)


class FairShare(PlainPriorities):
    """Queue by priority and soft deadline, with shares."""

    def __init__(self):
        super().__init__()
        self.fair = fair_admission.FairAdmission(queue=self.queue)

    def admit(self, attempt, entry, now, running):
        """Returns whether an attempt waits, and the waiting ones that it displaces."""
        source = attempt.source
        claim = self.fair.claim(
            source.request_class, source.vm, attempt.connection, _work_s(source.request_class)
        )
        entry = self.fair.rank(entry, claim, now)
        ahead = running + self.queue.count_ahead_of(entry, now)

        def fits(fewer):
            return self.queue.should_enqueue(entry, now, _wait_s(entry, ahead - fewer))

        displaced = []
        if not fits(0):
            displaced = self.fair.make_room(entry, claim, now, fits)
            if not displaced:
                return None, []
        self.fair.accept(entry, claim, now, offer_accepted=False)
        self.queue.add(entry)
        displaced += self.fair.crowd_out(
            now,
            lambda other, position: (
                now + _wait_s(other, running + position) + _work_s(other.request_class)
            ),
        )
        return entry, displaced

    def withdraw(self, entry, now):
        """Is told of a waiting request that is refused."""
        self.fair.withdraw(entry, now)

    def finish(self, entry_id, now):
        """Is told of the end of a run."""
        self.fair.finish(entry_id, now)


POLICIES = (FirstComeFirstServed, PlainPriorities, FairShare)


def _entry(attempt, entry_id):
    return work_queue.WaitingRequest(
        entry_id=entry_id,
        priority=attempt.source.priority,
        soft_deadline_s=attempt.first_s + TARGET_S,
        late_after_s=attempt.first_s + TARGET_S,
        deadline_s=attempt.first_s + DEADLINE_S,
        request_class=attempt.source.request_class,
    )


def _work_s(request_class):
    return _LONG_WORK_S if request_class == "long" else _WORK_S


def _wait_s(entry, ahead):
    return max(ahead + 1 - SLOTS, 0) * _work_s(entry.request_class) / SLOTS


class _Play:
    """Events of one play in the order of time."""

    def __init__(self, policy, seed):
        self.policy = policy
        self.generator = random.Random(seed)
        self.numbers = itertools.count()
        self.events = []
        self.running = 0
        self.attempt_by_id = {}
        self.outcome_by_name = collections.defaultdict(Outcome)

    def schedule(self, at_s, kind, value):
        heapq.heappush(self.events, (at_s, next(self.numbers), kind, value))

    def arrive(self, attempt, now):
        outcome = self.outcome_by_name[attempt.source.name]
        outcome.attempts += 1
        entry_id = next(self.numbers)
        self.attempt_by_id[entry_id] = attempt
        entry = self.policy.entry(attempt, entry_id, now)
        accepted, displaced = self.policy.admit(attempt, entry, now, self.running)
        if accepted is True:
            self.policy.queue.add(entry)
        for each in displaced:
            displaced_id = each.entry.entry_id
            self.outcome_by_name[self.attempt_by_id[displaced_id].source.name].displaced += 1
            self.refuse(displaced_id, now)
        if not accepted:
            self.refuse(entry_id, now)

    def refuse(self, entry_id, now):
        attempt = self.attempt_by_id[entry_id]
        self.outcome_by_name[attempt.source.name].refused_ids.add(entry_id)
        if attempt.source.returns and self._may_return(attempt, now):
            self.schedule(now + RETURN_S, "arrive", attempt)

    @staticmethod
    def _may_return(attempt, now):
        work_s = _work_s(attempt.source.request_class)
        return now + RETURN_S + work_s < attempt.first_s + DEADLINE_S

    def start(self, now):
        for entry in self.policy.queue.shed(now):
            self.policy.withdraw(entry, now)
            self.refuse(entry.entry_id, now)
        while self.running < SLOTS and (entry := self.policy.queue.pop_next(now)) is not None:
            self.running += 1
            end_s = now + _work_s(entry.request_class) * self.generator.uniform(0.8, 1.2)
            self.schedule(end_s, "end", entry.entry_id)

    def end(self, entry_id, now):
        self.running -= 1
        self.policy.finish(entry_id, now)
        attempt = self.attempt_by_id[entry_id]
        outcome = self.outcome_by_name[attempt.source.name]
        outcome.run_ids.add(entry_id)
        outcome.served += 1
        if now <= attempt.first_s + TARGET_S:
            outcome.in_time += 1
            outcome.in_time_work_s += _work_s(attempt.source.request_class)

    def demand(self, source, now):
        self.outcome_by_name[source.name].requests += 1
        connection = source.first_connection + self.generator.randrange(source.connections)
        self.arrive(Attempt(source=source, connection=connection, first_s=now), now)
        self.schedule_next(source, now)

    def schedule_next(self, source, now):
        next_s = now + self.generator.expovariate(
            source.demand * SLOTS / _work_s(source.request_class)
        )
        if next_s < DURATION_S:
            self.schedule(next_s, "demand", source)


def play(policy, sources, seed):
    """Plays a load and returns the outcome by source name."""
    run = _Play(policy, seed)
    for source in sources:
        run.schedule_next(source, 0.0)
    while run.events:
        now, _, kind, value = heapq.heappop(run.events)
        getattr(run, kind)(value, now)
        run.start(now)
    return dict(run.outcome_by_name)


def _ordinary(count, **values):
    return [Source(name=f"ordinary-{i}", vm=f"vm-{i}", **values) for i in range(count)]


LOADS = {
    "flood": [Source(name="flood", vm="flood", demand=3.0), *_ordinary(6, demand=0.1)],
    "flood that returns": [
        Source(name="flood", vm="flood", demand=3.0, returns=True),
        *_ordinary(6, demand=0.1),
    ],
    "flood, same VM": [
        Source(name="flood", demand=3.0, returns=True),
        *(Source(name=f"ordinary-{i}", first_connection=10 + i, demand=0.1) for i in range(6)),
    ],
    "flood, 200 connections": [
        Source(name="flood", vm="flood", connections=200, demand=3.0, returns=True),
        *_ordinary(6, demand=0.1),
    ],
    "class that returns": [
        *(
            Source(name="returns", request_class="r", vm=f"vm-{i}", demand=0.4, returns=True)
            for i in range(4)
        ),
        *(Source(name="patient", request_class="p", vm=f"vm-{i}", demand=0.1) for i in range(4)),
    ],
    "short next to long": [
        Source(name="flood", vm="flood", demand=3.0, returns=True),
        *_ordinary(4, request_class="long", demand=0.1),
    ],
    "equal demand": [Source(name=f"equal-{i}", vm=f"vm-{i}", demand=0.5) for i in range(4)],
    "two priorities": [
        Source(name="high", request_class="h", priority=0, demand=0.8),
        Source(name="low", request_class="l", priority=2, demand=0.8, returns=True),
    ],
    "high floods": [
        Source(name="high", request_class="h", priority=0, demand=3.0),
        Source(name="middle", request_class="m", priority=1, demand=0.3),
        Source(name="low", request_class="l", priority=2, demand=0.3),
    ],
    "high floods and returns": [
        Source(name="high", request_class="h", priority=0, demand=3.0, returns=True),
        Source(name="middle", request_class="m", priority=1, demand=0.3),
        Source(name="low", request_class="l", priority=2, demand=0.3),
    ],
    "one of eight classes floods": [
        Source(name="flood", request_class="f", demand=4.0, returns=True),
        *(
            Source(name="ordinary", request_class=f"k{i}", vm=f"vm-{i}", demand=0.15)
            for i in range(7)
        ),
    ],
}


def main():
    """Prints the results of all loads and policies as the mean over the seeds."""
    parser = argparse.ArgumentParser()
    parser.add_argument("seeds", type=int, nargs="+")
    seeds = parser.parse_args().seeds
    lines = ["| load | callers | " + " | ".join(p.__name__ for p in POLICIES) + " |"]
    for load, sources in LOADS.items():
        plays = [[play(policy(), sources, seed) for seed in seeds] for policy in POLICIES]
        kinds = sorted({source.name.split("-")[0] for source in sources})
        for kind in kinds:
            cells = [f"{_mean_ratio(outcomes, kind):.3f}" for outcomes in plays]
            lines.append(f"| {load} | {kind} | " + " | ".join(cells) + " |")
        total = [
            sum(o.in_time_work_s for outcome in outcomes for o in outcome.values())
            / (len(seeds) * DURATION_S * SLOTS)
            for outcomes in plays
        ]
        cells = [f"{each:.3f}" for each in total]
        lines.append(f"| {load} | *all, of the capacity* | " + " | ".join(cells) + " |")
    sys.stdout.write("\n".join(lines) + "\n")


def _mean_ratio(outcomes, kind):
    found = [o for by_name in outcomes for name, o in by_name.items() if name.startswith(kind)]
    return sum(o.in_time for o in found) / sum(o.requests for o in found)


if __name__ == "__main__":
    main()
