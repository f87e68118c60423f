"""Health probes of the adjacent backend server while no call shows its health."""

import asyncio
import logging
import random
from collections.abc import Callable

from laburnumford_node import adjacent, exchange, header_names
from laburnumford_node import payload as payloads
from laburnumford_node.http import body, errors, fields, pool
from laburnumford_objects import measuring as measuring_object
from laburnumford_policy import measuring

_LOG = logging.getLogger("laburnumford.prober")
_PROBE_TIMEOUT_S = 1.0
_MAX_WAIT_S = 0.5
_PROBE_COST = measuring.Cost(calls=1, bytes=400, cpu_ms=1.0)
"""Estimate that is charged to the measuring budget before a probe; bytes above it are charged after
the probe."""

_BURST_SHARE = 0.8
"""A probe must fit into the burst of the measuring budget; the smallest budget in use, 600 bytes/s,
has a burst of 480 bytes."""

_MAX_BODY_BYTES = 16 * 1024
"""Largest body of an answer to a probe, which is not used."""

_HEAD_BYTES = 200
"""Estimated size of the start line and the header fields of a probe or of its answer."""


class Prober:
    """Sends health requests within the measuring budget of the adjacent server.

    Only this node probes the server, so the budget bounds the cost of probes regardless of the
    number of nodes, callers and failures.

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
        self._published_budget: measuring_object.MeasuringLimits | None = None
        self._budget: measuring.MeasuringBudget | None = None
        self._schedule: measuring.ProbeSchedule | None = None
        self._last_observed_answer_s = 0.0
        self.probes_count = 0
        self.failures_count = 0
        self.healthy: bool | None = None

    def apply(self, published: measuring_object.MeasuringLimits | None) -> None:
        """Applies the published budget if it has changed; None stops probing."""
        if published == self._published_budget:
            return
        self._published_budget = published
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
        """Returns counters, health and budget as a document that can be encoded as JSON."""
        share_used = self._budget.share_used(self._clock()) if self._budget is not None else 0.0
        return {
            "probes": self.probes_count,
            "failures": self.failures_count,
            "healthy": self.healthy,
            "share_of_budget": round(share_used, 4),
            "budget": self._published_budget.model_dump()
            if self._published_budget is not None
            else None,
        }

    async def run(self) -> None:
        """Sends probes when they are due until it is cancelled."""
        while True:
            await asyncio.sleep(self._wait_s())
            schedule = self._schedule
            if schedule is None:
                continue
            self._observe_answers(schedule)
            if schedule.admit(self._clock()):
                await self._probe()

    def _wait_s(self) -> float:
        if self._schedule is None:
            return _MAX_WAIT_S
        now = self._clock()
        return min(max(self._schedule.due_at(now) - now, 0.01), _MAX_WAIT_S)

    def _observe_answers(self, schedule: measuring.ProbeSchedule) -> None:
        # A draining server gets no calls, so only a probe can find that its drain has ended.
        last_s = self._server.last_answer_s
        if last_s > self._last_observed_answer_s and not self._server.draining:
            self._last_observed_answer_s = last_s
            schedule.observe_call(last_s)

    async def _probe(self) -> None:
        self.probes_count += 1
        draining: bool | None = None
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                healthy, draining = await self._send_probe()
        except errors.ConnectError:
            # The server process has ended, and its drain with it.
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

    async def _send_probe(self) -> tuple[bool, bool | None]:
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
            await self._read_body(answer.body)
            await ongoing.end(whole=True)
        finally:
            ongoing.abandon()
        # The health status may lag or be wrong, so only an explicit header value ends a drain.
        draining = {b"0": False, b"1": True}.get(
            fields.get(answer.fields, header_names.DRAINING) or b""
        )
        return answer.status < 400, draining

    async def _read_body(self, received: body.Body) -> None:
        """Reads the body of an answer and charges it to the budget.

        Raises:
            HttpError: the body is too large, or incomplete.
        """
        body_bytes = 0
        try:
            while data := await received.read():
                body_bytes += len(data)
                if body_bytes > _MAX_BODY_BYTES:
                    raise errors.BadMessageError(
                        502, f"answer to a probe has more than {_MAX_BODY_BYTES} bytes"
                    )
        finally:
            if self._budget is not None:
                excess_bytes = max(body_bytes + 2 * _HEAD_BYTES - _PROBE_COST.bytes, 0)
                self._budget.observe(measuring.Cost(calls=0, bytes=excess_bytes), self._clock())
