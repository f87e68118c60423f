"""Estimates how much of a heavy day could be served by a choice that knows everything.

All servers of a service share one queue, the speed of each server at each moment is known, work
starts at the moment at which it ends earliest, and what will miss its aim never starts before
what will not. No real system can know this, so its distance to the estimate is what better
decisions could gain at most, apart from the parts that the day leaves out.
"""

import collections
import dataclasses
import random
from collections.abc import AsyncIterator

from laburnumford_testkit.bench import bench, figure, heavy_day

_STEP_S = 0.01
"""Seconds between two decisions; a fifteenth of the time for which a server keeps its speed."""

_WINDOW_S = 2.0
_WORST_WINDOWS = 2


@dataclasses.dataclass(slots=True)
class _Request:
    kind: heavy_day.Kind
    arrived_s: float
    end_s: float | None = None

    @property
    def earned(self) -> float:
        """Worth of its answer."""
        if self.end_s is None:
            return 0.0
        took_s = self.end_s - self.arrived_s
        if took_s <= self.kind.aim_s:
            return self.kind.worth
        return self.kind.late_worth if took_s <= self.kind.deadline_s else 0.0


class _Server:
    """Slots of one server and its speed over the day."""

    def __init__(self, day: heavy_day.HeavyDay, place: float, generator: random.Random) -> None:
        self._day = day
        self._place = place
        self._slow_by_step = [
            generator.random() < day.slow_share
            for _ in range(int(day.length_s * 2 / day.step_s) + 1)
        ]
        self.ends_s: list[float] = []

    def free(self, now: float) -> int:
        """Returns the number of free slots, none while the server is out of reach."""
        for loss in self._day.losses:
            if loss.start_s <= now < loss.end_s and self._place < loss.factor:
                return 0
        self.ends_s = [end_s for end_s in self.ends_s if end_s > now]
        return self._day.slots - len(self.ends_s)

    def end_s(self, now: float, work_s: float) -> float | None:
        """Returns the end of work that starts now, or None if it ends earlier when it waits."""
        step = int(now / self._day.step_s)
        if not self._slow_by_step[step]:
            return now + work_s
        later = step
        while later < len(self._slow_by_step) - 1 and self._slow_by_step[later]:
            later += 1
        slow_end_s = now + work_s * self._day.slow_factor
        return slow_end_s if slow_end_s <= later * self._day.step_s + work_s else None


def serve(day: heavy_day.HeavyDay, seed: int) -> list[tuple[heavy_day.Kind, float, float]]:
    """Serves a day and returns for each request its kind, its arrival and the worth earned."""
    generator = random.Random(seed)
    served = []
    for service, count in day.servers_by_service.items():
        places = [(index + 0.5) / count for index in range(count)]
        servers = [_Server(day, place, generator) for place in places]
        requests = _arrivals(day, service, generator)
        _serve_service(day, servers, requests)
        served += [(each.kind, each.arrived_s, each.earned) for each in requests]
    return served


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


def _serve_service(
    day: heavy_day.HeavyDay, servers: list[_Server], requests: list[_Request]
) -> None:
    coming = collections.deque(requests)
    waiting: list[_Request] = []
    for step in range(int((day.length_s + max(each.deadline_s for each in day.kinds)) / _STEP_S)):
        now = step * _STEP_S
        while coming and coming[0].arrived_s <= now:
            waiting.append(coming.popleft())
        waiting = [each for each in waiting if now < each.arrived_s + each.kind.deadline_s]
        waiting.sort(key=lambda each: _order(each, now))
        for server in servers:
            for _ in range(server.free(now)):
                if not waiting:
                    break
                end_s = server.end_s(now, waiting[0].kind.work_s)
                if end_s is None:
                    break
                started = waiting.pop(0)
                started.end_s = end_s
                server.ends_s.append(end_s)


def _order(request: _Request, now: float) -> tuple[bool, int, float]:
    late = now + request.kind.work_s > request.arrived_s + request.kind.aim_s
    return (late, request.kind.priority, request.arrived_s)


def parts(
    day: heavy_day.HeavyDay, served: list[tuple[heavy_day.Kind, float, float]]
) -> dict[str, float]:
    """Returns the earned share of the worth: whole, worst windows, worst kind, and answered."""
    windows: dict[int, list[float]] = collections.defaultdict(lambda: [0.0, 0.0])
    kinds: dict[str, list[float]] = collections.defaultdict(lambda: [0.0, 0.0])
    for kind, arrived_s, earned in served:
        for sums in (windows[int(arrived_s / _WINDOW_S)], kinds[kind.name]):
            sums[0] += earned
            sums[1] += kind.worth
    full = [sums for index, sums in windows.items() if (index + 1) * _WINDOW_S <= day.length_s]
    worst = sorted(full, key=lambda sums: sums[0] / sums[1])[:_WORST_WINDOWS]
    return {
        "whole_day": sum(s[0] for s in kinds.values()) / sum(s[1] for s in kinds.values()),
        "worst_windows": sum(s[0] for s in worst) / sum(s[1] for s in worst),
        "worst_kind": min(s[0] / s[1] for s in kinds.values()),
        "answered": sum(earned > 0 for _, _, earned in served) / len(served),
    }


@bench.benches.register("limit")
class LimitBench(bench.Options):
    """Estimates the limit of the heaviest day for several seeds."""

    async def run(self) -> AsyncIterator[figure.Figure]:
        """Yields the parts."""
        day = heavy_day.DISPATCH
        seeds = range(self.seed, self.seed + (1 if self.quick else self.repetitions))
        found = []
        count = 0
        for seed in seeds:
            served = serve(day, seed)
            count += len(served)
            found.append(parts(day, served))
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
