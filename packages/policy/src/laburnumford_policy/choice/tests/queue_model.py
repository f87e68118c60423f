"""Deterministic queueing model of servers and of the nodes that choose among them.

It is used to compare choosers. Each server has slots, one queue and a work rate that a scenario
sets over time (slow, paused, cold). The model covers refusals, network delay, resends of refused
calls and timeouts.
"""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import math
import random

from laburnumford_policy import choice

CALL_TIMEOUT_S = 1.0
MAX_RESENDS = 2
REPORT_WEIGHT = 0.1  # Weight of one call in the reported service time, which therefore lags.


@dataclasses.dataclass(frozen=True)
class RateWindow:
    """Period in which a server works at a rate other than 1; a rate of 0 is a pause."""

    start: float
    end: float
    rate: float


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Load and faults of one run; all times are in seconds."""

    duration: float
    servers: int = 5
    slots: int = 12
    nodes: int = 8
    utilisation: float = 0.6
    service_s: float = 0.01
    spread: float = 0.5  # Sigma of the lognormal service time.
    large_share: float = 0.0  # Share of calls that take 20 times as long.
    queue_limit: int = 24
    windows: dict[int, tuple[RateWindow, ...]] = dataclasses.field(default_factory=dict)
    refusing: frozenset[int] = frozenset()
    joins_at: dict[int, float] = dataclasses.field(default_factory=dict)
    local: bool = False  # Node i is adjacent to server i.
    seed: int = 1


@dataclasses.dataclass
class Call:
    """One call; `work` is its service time at rate 1, and `latency` is set when it ends."""

    node: int
    started: float
    work: float
    latency: float = math.inf
    ended: bool = False
    answered: bool = False
    resends: int = 0
    tried: frozenset[str] = frozenset()


class Server:
    """One server with slots, a bounded queue and a work rate that varies over time."""

    def __init__(self, scenario: Scenario, index: int) -> None:
        self.name = f"s{index}"
        self.slots = scenario.slots
        self.queue_limit = scenario.queue_limit
        self.windows = scenario.windows.get(index, ())
        self.refuses = index in scenario.refusing
        self.running = 0
        self.queue: collections.deque[tuple[Call, float]] = collections.deque()
        self.service_s = scenario.service_s

    def pause_end(self, now: float) -> float:
        """Returns the end of the pause in progress at `now`, or `now` if there is none."""
        for window in self.windows:
            if window.rate == 0 and window.start <= now < window.end:
                return window.end
        return now

    def completion_time(self, now: float, work: float) -> float:
        """Returns the time at which `work` that starts at `now` is completed."""
        for window in self.windows:
            if window.end <= now:
                continue
            if now < window.start:
                if now + work <= window.start:
                    return now + work
                work -= window.start - now
                now = window.start
            done = (window.end - now) * window.rate
            if work <= done:
                return now + work / window.rate
            work -= done
            now = window.end
        return now + work

    def report(self) -> choice.LoadReport:
        """Returns the load report for an answer sent now."""
        return choice.LoadReport(
            running=self.running,
            queued=len(self.queue),
            limit=self.slots,
            service_time_us=int(self.service_s * 1e6),
        )


class Model:
    """Simulates one scenario with one type of chooser at each node."""

    def __init__(self, scenario: Scenario, chooser: str) -> None:
        self.scenario = scenario
        self.generator = random.Random(scenario.seed)
        self.servers = [Server(scenario, index) for index in range(scenario.servers)]
        self.servers_by_name = {server.name: server for server in self.servers}
        self.choosers = [
            choice.choosers.create(chooser, generator=random.Random(f"{scenario.seed}-{node}"))
            for node in range(scenario.nodes)
        ]
        self.events: list[
            tuple[float, int, collections.abc.Callable[..., None], tuple[object, ...]]
        ] = []
        self.order = itertools.count()
        self.calls: list[Call] = []
        # Time, server name and node of each attempt.
        self.sends: list[tuple[float, str, int]] = []
        self.now = 0.0

    def schedule(
        self, time: float, action: collections.abc.Callable[..., None], *arguments: object
    ) -> None:
        """Schedules an action at a point in time."""
        heapq.heappush(self.events, (time, next(self.order), action, arguments))

    def run(self) -> "Model":
        """Runs the scenario and returns the model."""
        scenario = self.scenario
        for join in sorted({0.0, *scenario.joins_at.values()}):
            self.schedule(join, self.apply)
        capacity = scenario.servers * scenario.slots / self.mean_work()
        rate = scenario.utilisation * capacity / scenario.nodes
        for node in range(scenario.nodes):
            self.schedule(self.generator.expovariate(rate), self.start_call, node, rate)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self

    def mean_work(self) -> float:
        """Returns the mean work of a call in seconds."""
        return self.scenario.service_s * (1 + 19 * self.scenario.large_share)

    def delay(self, node: int, server: Server) -> float:
        """Returns the one-way network delay in seconds.

        It is 0.05 ms to the adjacent server, 0.25 ms within a zone and 1.5 ms between zones.
        """
        if self.scenario.local and self.servers[node % len(self.servers)] is server:
            return 0.00005
        return 0.00025 if node % 3 == int(server.name[1:]) % 3 else 0.0015

    def apply(self) -> None:
        """Passes the servers that have joined to the chooser of every node."""
        joins_at = self.scenario.joins_at
        for node, chooser in enumerate(self.choosers):
            chooser.apply(
                [
                    choice.Candidate(
                        name=server.name,
                        one_way_delay_ms=self.delay(node, server) * 1000,
                        slots=server.slots,
                        local=self.scenario.local and node == index,
                    )
                    for index, server in enumerate(self.servers)
                    if joins_at.get(index, 0.0) <= self.now
                ],
                self.now,
            )

    def start_call(self, node: int, rate: float) -> None:
        """Starts a call and schedules the next one of the node."""
        scenario = self.scenario
        mu = math.log(scenario.service_s) - scenario.spread**2 / 2
        work = self.generator.lognormvariate(mu, scenario.spread)
        if self.generator.random() < scenario.large_share:
            work *= 20
        call = Call(node=node, started=self.now, work=work)
        self.calls.append(call)
        self.send(call)
        following = self.now + self.generator.expovariate(rate)
        if following < scenario.duration:
            self.schedule(following, self.start_call, node, rate)

    def send(self, call: Call) -> None:
        """Sends an attempt to the chosen server."""
        chooser = self.choosers[call.node]
        name = chooser.choose(self.now, call.tried)
        if name is None:
            call.latency = CALL_TIMEOUT_S
            call.ended = True
            return
        chooser.observe_sent(name, self.now)
        self.sends.append((self.now, name, call.node))
        server = self.servers_by_name[name]
        attempt = (call, server, self.now)
        self.schedule(self.now + self.delay(call.node, server), self.arrive, *attempt)
        self.schedule(call.started + CALL_TIMEOUT_S, self.time_out, *attempt)

    def arrive(self, call: Call, server: Server, sent_at: float) -> None:
        """Runs, queues or refuses an attempt that arrives at a server."""
        resumed = server.pause_end(self.now)
        if resumed > self.now:
            self.schedule(resumed, self.arrive, call, server, sent_at)
        elif call.ended:
            return
        elif server.refuses or (
            server.running >= server.slots and len(server.queue) >= server.queue_limit
        ):
            back = self.now + self.delay(call.node, server)
            self.schedule(back, self.receive_refusal, call, server, sent_at, server.report())
        elif server.running < server.slots:
            self.start_work(call, server, sent_at)
        else:
            server.queue.append((call, sent_at))

    def start_work(self, call: Call, server: Server, sent_at: float) -> None:
        """Starts the work of an attempt."""
        server.running += 1
        done = server.completion_time(self.now, call.work)
        self.schedule(done, self.finish, call, server, sent_at, done - self.now)

    def finish(self, call: Call, server: Server, sent_at: float, service_s: float) -> None:
        """Ends the work of an attempt and starts the next one in the queue."""
        server.running -= 1
        server.service_s += REPORT_WEIGHT * (service_s - server.service_s)
        while server.queue and server.running < server.slots:
            following, following_sent_at = server.queue.popleft()
            if not following.ended:
                self.start_work(following, server, following_sent_at)
        back = self.now + self.delay(call.node, server)
        self.schedule(back, self.receive_answer, call, server, sent_at, server.report())

    def receive_answer(
        self, call: Call, server: Server, sent_at: float, report: choice.LoadReport
    ) -> None:
        """Records an answer at the node."""
        if call.ended:
            return
        call.latency = self.now - call.started
        call.ended = call.answered = True
        self.observe(call, server, sent_at, report, choice.Result.ANSWERED)

    def receive_refusal(
        self, call: Call, server: Server, sent_at: float, report: choice.LoadReport
    ) -> None:
        """Records a refusal at the node and resends the call to another server."""
        if call.ended:
            return
        self.observe(call, server, sent_at, report, choice.Result.REFUSED)
        call.tried |= {server.name}
        call.resends += 1
        if call.resends <= MAX_RESENDS:
            self.send(call)
        else:
            call.latency = CALL_TIMEOUT_S
            call.ended = True

    def time_out(self, call: Call, server: Server, sent_at: float) -> None:
        """Ends a call at its timeout, unless it or this attempt has ended already."""
        if call.ended or server.name in call.tried:
            return
        call.latency = CALL_TIMEOUT_S
        call.ended = True
        self.observe(call, server, sent_at, None, choice.Result.CANCELLED)

    def observe(
        self,
        call: Call,
        server: Server,
        sent_at: float,
        report: choice.LoadReport | None,
        result: choice.Result,
    ) -> None:
        """Reports the end of an attempt to the chooser of its node."""
        chooser = self.choosers[call.node]
        chooser.observe_answer(server.name, self.now, self.now - sent_at, report, result)

    def quantile(self, share: float, start: float = 0.0, end: float = math.inf) -> float:
        """Returns a quantile of the latency, in seconds, of calls started in a period."""
        values = sorted(call.latency for call in self.calls if start <= call.started < end)
        return values[min(len(values) - 1, int(share * len(values)))]

    def count_sent_to(self, name: str, start: float = 0.0, end: float = math.inf) -> int:
        """Returns the number of attempts sent to a server in a period."""
        return sum(1 for time, each, _ in self.sends if each == name and start <= time < end)

    def share_to(self, name: str, start: float = 0.0, end: float = math.inf) -> float:
        """Returns the share of attempts sent to a server in a period."""
        total = sum(1 for time, _, _ in self.sends if start <= time < end)
        return self.count_sent_to(name, start, end) / max(1, total)
