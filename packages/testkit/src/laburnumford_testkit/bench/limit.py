"""Estimates which share of a heavy day could be served by a scheduler with full knowledge.

All servers of a service share one queue, and the speed of each server at each moment is known. A
request starts at the time that makes it end earliest, and a request that will miss its target
latency never starts before one that can meet it. No real system has this knowledge, so its
distance to the estimate is the most that better decisions could gain, apart from the effects
that the model of the day leaves out.
"""

import collections
import dataclasses
import random
from collections.abc import AsyncIterator

from laburnumford_testkit.bench import bench, figure, heavy_day

_DECISION_INTERVAL_S = 0.01
"""Seconds between two scheduling decisions; a fifteenth of the time for which a server keeps its
speed."""

_WINDOW_S = 2.0
_WORST_WINDOW_COUNT = 2


@dataclasses.dataclass(slots=True)
class _Request:
    kind: heavy_day.Kind
    arrived_s: float
    end_s: float | None = None

    @property
    def earned_value(self) -> float:
        """Value of the answer: full, late or none."""
        if self.end_s is None:
            return 0.0
        latency_s = self.end_s - self.arrived_s
        if latency_s <= self.kind.target_latency_s:
            return self.kind.value
        return self.kind.late_value if latency_s <= self.kind.deadline_s else 0.0


class _Server:
    """Running requests of one server and its speed over the day."""

    def __init__(self, day: heavy_day.HeavyDay, position: float, generator: random.Random) -> None:
        self._day = day
        self._position = position
        self._slow_by_step = [
            generator.random() < day.slow_share
            for _ in range(int(day.length_s * 2 / day.speed_interval_s) + 1)
        ]
        self.running_ends_s: list[float] = []

    def free_slots(self, now: float) -> int:
        """Returns the number of free slots, 0 while the server is unreachable."""
        for outage in self._day.outages:
            if outage.start_s <= now < outage.end_s and self._position < outage.factor:
                return 0
        self.running_ends_s = [end_s for end_s in self.running_ends_s if end_s > now]
        return self._day.slots - len(self.running_ends_s)

    def end_s(self, now: float, service_time_s: float) -> float | None:
        """Returns the end of a request that starts now; None if it ends earlier by starting later."""
        step = int(now / self._day.speed_interval_s)
        if not self._slow_by_step[step]:
            return now + service_time_s
        slow_until_step = step
        while (
            slow_until_step < len(self._slow_by_step) - 1 and self._slow_by_step[slow_until_step]
        ):
            slow_until_step += 1
        slow_end_s = now + service_time_s * self._day.slow_factor
        return (
            slow_end_s
            if slow_end_s <= slow_until_step * self._day.speed_interval_s + service_time_s
            else None
        )


def simulate(day: heavy_day.HeavyDay, seed: int) -> list[tuple[heavy_day.Kind, float, float]]:
    """Simulates a day and returns the kind, arrival time and earned value of each request."""
    generator = random.Random(seed)
    results = []
    for service, count in day.servers_by_service.items():
        positions = [(index + 0.5) / count for index in range(count)]
        servers = [_Server(day, position, generator) for position in positions]
        requests = _arrivals(day, service, generator)
        _simulate_service(day, servers, requests)
        results += [(each.kind, each.arrived_s, each.earned_value) for each in requests]
    return results


def _arrivals(day: heavy_day.HeavyDay, service: str, generator: random.Random) -> list[_Request]:
    requests = []
    for kind in day.kinds:
        now = 0.0
        while kind.service == service and now < day.length_s:
            rate_per_s = kind.rate_per_s
            for surge in day.surges:
                if surge.start_s <= now < surge.end_s:
                    rate_per_s *= surge.factor
            now += generator.expovariate(rate_per_s)
            requests.append(_Request(kind, now))
    return sorted(requests, key=lambda each: each.arrived_s)


def _simulate_service(
    day: heavy_day.HeavyDay, servers: list[_Server], requests: list[_Request]
) -> None:
    upcoming = collections.deque(requests)
    waiting: list[_Request] = []
    for step in range(
        int((day.length_s + max(each.deadline_s for each in day.kinds)) / _DECISION_INTERVAL_S)
    ):
        now = step * _DECISION_INTERVAL_S
        while upcoming and upcoming[0].arrived_s <= now:
            waiting.append(upcoming.popleft())
        waiting = [each for each in waiting if now < each.arrived_s + each.kind.deadline_s]
        waiting.sort(key=lambda each: _scheduling_order(each, now))
        for server in servers:
            for _ in range(server.free_slots(now)):
                if not waiting:
                    break
                end_s = server.end_s(now, waiting[0].kind.service_time_s)
                if end_s is None:
                    break
                started = waiting.pop(0)
                started.end_s = end_s
                server.running_ends_s.append(end_s)


def _scheduling_order(request: _Request, now: float) -> tuple[bool, int, float]:
    late = now + request.kind.service_time_s > request.arrived_s + request.kind.target_latency_s
    return (late, request.kind.priority, request.arrived_s)


def value_shares(
    day: heavy_day.HeavyDay, results: list[tuple[heavy_day.Kind, float, float]]
) -> dict[str, float]:
    """Returns the earned shares of the value by name, and the share of requests with any value.

    `whole_day` is over all requests, `worst_windows` over those of the two windows of 2 s with the
    lowest share, and `worst_kind` is the share of the kind with the lowest share.
    """
    windows: dict[int, list[float]] = collections.defaultdict(lambda: [0.0, 0.0])
    kinds: dict[str, list[float]] = collections.defaultdict(lambda: [0.0, 0.0])
    for kind, arrived_s, earned_value in results:
        for sums in (windows[int(arrived_s / _WINDOW_S)], kinds[kind.name]):
            sums[0] += earned_value
            sums[1] += kind.value
    complete = [sums for index, sums in windows.items() if (index + 1) * _WINDOW_S <= day.length_s]
    worst = sorted(complete, key=lambda sums: sums[0] / sums[1])[:_WORST_WINDOW_COUNT]
    return {
        "whole_day": sum(s[0] for s in kinds.values()) / sum(s[1] for s in kinds.values()),
        "worst_windows": sum(s[0] for s in worst) / sum(s[1] for s in worst),
        "worst_kind": min(s[0] / s[1] for s in kinds.values()),
        "answered": sum(earned_value > 0 for _, _, earned_value in results) / len(results),
    }


@bench.benches.register("limit")
class LimitBench(bench.Options):
    """Estimates the upper limit of the value earned on the heaviest day, over several seeds."""

    async def run(self) -> AsyncIterator[figure.Figure]:
        """Yields each share as the mean over the seeds."""
        day = heavy_day.DISPATCH_DAY
        seeds = range(self.seed, self.seed + (1 if self.quick else self.repetitions))
        found = []
        count = 0
        for seed in seeds:
            results = simulate(day, seed)
            count += len(results)
            found.append(value_shares(day, results))
        for name in found[0]:
            values = [each[name] for each in found]
            yield figure.Figure(
                name=f"limit_{name}",
                value=sum(values) / len(values),
                unit="share",
                seed=self.seed,
                samples=count,
                low=min(values),
                high=max(values),
                repetitions=len(values),
            )
