"""Probes the adjacent backend server when no call tells how it is."""

import asyncio
import logging
import random
from collections.abc import Callable

from laburnumford_node import adjacent, exchange, header_names
from laburnumford_node import payload as payloads
from laburnumford_node.http import errors, fields, pool
from laburnumford_objects import measuring as measuring_object
from laburnumford_policy import measuring

_LOG = logging.getLogger("laburnumford.prober")
_TIMEOUT_S = 1.0
_MAX_SLEEP_S = 0.5
_PROBE_COST = measuring.Cost(calls=1, bytes=400, cpu_ms=1.0)
"""Estimate that is admitted before a probe; the bytes above it are charged afterwards."""

_BURST_SHARE = 0.8
"""One probe must fit into the burst of the smallest budget in use, 600 bytes/s."""

_OVERHEAD_BYTES = 200
"""Status line and fields of a probe and its answer, beside the body."""


class Prober:
    """Sends health requests inside the measuring budget of the adjacent server.

    This node is the only one that probes the server, so the budget bounds the cost
    whatever the number of nodes, callers or failures.

    Args:
        server: the adjacent backend server.
        address: ``ip:port`` of the backend server.
        path: path of the health request.
        connections: pool of connections to the backend server.
        generator: source of the jitter.
        clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        server: adjacent.AdjacentServer,
        address: str,
        path: str,
        connections: pool.Pool,
        generator: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._server = server
        self._address = address
        self._path = path.encode()
        self._connections = connections
        self._generator = generator
        self._clock = clock
        self._published: measuring_object.MeasuringLimits | None = None
        self._budget: measuring.MeasuringBudget | None = None
        self._schedule: measuring.ProbeSchedule | None = None
        self._seen_call_s = 0.0
        self.probes_count = 0
        self.failures_count = 0
        self.healthy: bool | None = None

    def apply(self, published: measuring_object.MeasuringLimits | None) -> None:
        """Takes over the published budget; None stops probing."""
        if published == self._published:
            return
        self._published = published
        if published is None:
            self._budget = self._schedule = None
            return
        self._budget = measuring.MeasuringBudget(
            calls_per_s=published.calls_per_s,
            bytes_per_s=published.bytes_per_s,
            cpu_ms_per_s=published.cpu_ms_per_s,
            burst_share=_BURST_SHARE,
        )
        self._schedule = measuring.ProbeSchedule(
            generator=self._generator, budget=self._budget, cost=_PROBE_COST
        )

    def status(self) -> dict[str, object]:
        """Returns the counters as a JSON-ready document."""
        used = self._budget.share_used(self._clock()) if self._budget is not None else 0.0
        return {
            "probes": self.probes_count,
            "failures": self.failures_count,
            "healthy": self.healthy,
            "share_of_budget": round(used, 4),
            "budget": self._published.model_dump() if self._published is not None else None,
        }

    async def run(self) -> None:
        """Probes for as long as the node runs."""
        while True:
            await asyncio.sleep(self._wait_s())
            schedule = self._schedule
            if schedule is None:
                continue
            self._observe_calls(schedule)
            if schedule.admit(self._clock()):
                await self._probe()

    def _wait_s(self) -> float:
        if self._schedule is None:
            return _MAX_SLEEP_S
        now = self._clock()
        return min(max(self._schedule.due_at(now) - now, 0.01), _MAX_SLEEP_S)

    def _observe_calls(self, schedule: measuring.ProbeSchedule) -> None:
        # A draining server gets no calls, so only a probe can tell that it has come back.
        last_s = self._server.last_answer_s
        if last_s > self._seen_call_s and not self._server.draining:
            self._seen_call_s = last_s
            schedule.observe_call(last_s)

    async def _probe(self) -> None:
        self.probes_count += 1
        draining: bool | None = None
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                healthy, draining = await self._ask()
        except errors.ConnectError:
            # The process has ended, and with it its drain.
            healthy, draining = False, False
        except (errors.HttpError, TimeoutError):
            healthy = False
        if not healthy:
            self.failures_count += 1
        if healthy is not self.healthy:
            _LOG.info("prober: backend server is %s", "healthy" if healthy else "not healthy")
        self.healthy = healthy
        if draining is not None:
            self._server.observe_draining(draining)

    async def _ask(self) -> tuple[bool, bool | None]:
        connection = await self._connections.acquire(self._address)
        ongoing = exchange.Exchange(
            connection=connection,
            release=lambda _: self._connections.release(self._address, connection),
        )
        try:
            answer = await ongoing.send(
                method=b"GET",
                target=self._path,
                head=[(b"host", self._address.encode())],
                payload=payloads.Payload(data=b""),
            )
            size = 0
            while data := await answer.body.read():
                size += len(data)
            await ongoing.end(whole=True)
        finally:
            ongoing.abandon()
        if self._budget is not None:
            beyond = max(size + 2 * _OVERHEAD_BYTES - _PROBE_COST.bytes, 0)
            self._budget.observe(measuring.Cost(calls=0, bytes=beyond), self._clock())
        # Health requests lag or mislead, so only an explicit word ends a drain.
        draining = {b"0": False, b"1": True}.get(
            fields.get(answer.fields, header_names.DRAINING) or b""
        )
        return answer.status < 400, draining
