"""Queueing, concurrency limit and exchanges of the backend server on the same VM."""

import asyncio
import itertools
import math
from collections.abc import Callable
from typing import Any

from laburnumford_mesh import (
    answer_outcome,
    clock,
    cold_start,
    errors,
    event_log,
    frames,
    load_header,
    metrics,
    server_coldness,
    server_lifecycle,
    server_notice,
    server_rate_limit,
    server_request,
    server_speed,
    service_times,
    settings,
    share_gate,
    wire_names,
)
from laburnumford_mesh.http import answer as answers
from laburnumford_mesh.http import buffer_budget, read_limits, server_connection, server_pool
from laburnumford_node.http import errors as http_errors
from laburnumford_node.http import fields
from laburnumford_policy.placement import (
    check_interval,
    completed_work,
    displacement,
    knee_limit,
    reservations,
    start_policy,
    stop_window,
    work_queue,
)

_CONNECT_TIMEOUT_S = 0.5
"""The server is on the same VM, where a connect takes 1 ms."""

_UNLIMITED_IDLE_S = math.inf
_MAX_IDLE_NON_IDEMPOTENT_S = 0.3
"""Longest idle time of a connection for a non-idempotent request. A server may drop an idle
connection without notice and reset the next request, which then cannot be sent again."""

_SHORT_REQUEST_SHARE = 0.6
"""Share of the mean service time below which a request is cheap enough to serve late."""

_MAX_SPEED_AGE_S = 0.03
"""Age of the reported speed above which the server is probed before a request starts. Speeds
change about every 150 ms."""

_PROBE_TIMEOUT_S = 0.05
"""Probes take 6 ms. Without an answer, requests start on the basis of the last known speed."""

_MIN_PROBE_INTERVAL_S = 0.02
"""Limits the probes to 50 per second; the platform allows 60."""

_MAX_PROBE_INTERVAL_S = 1.0
"""Longest interval while the answers to probes are invalid."""

_PROBE_READ_LIMITS = read_limits.ReadLimits(
    framing_bytes=16 * 1024, header_fields=64, body_bytes=16 * 1024
)
"""The fields of a health check have some hundred bytes, and its body is not used."""

_DOWN_AFTER_CONNECT_ERROR_S = 0.3
"""Time for which the server counts as down after a failed connect."""

_OVERLOADED_REASON = "overloaded"
"""Requests ahead, or callers below their share, leave no room to answer the request in time."""

_RATE_LIMIT_REASON = "rate-limited"
"""The server advertises a rate at which it cannot get the request in time."""

_LEAVING_REASON = "leaving"
"""The node ends before the request would."""

_EVACUATED_REASON = "zone-evacuated"
"""Nothing may be sent to the server until the evacuation of its zone ends."""

_DEADLINE_GRACE_S = 0.03
"""Allowance for an answer that the server sends at the deadline to arrive."""


class LocalServer:
    """Runs requests on the backend server on the same VM.

    Args:
        address: ``ip:port`` of the server.
        names: header field names.
        log: structured log.
        limits: limits on the bytes of one exchange with the server.
        budget: limit on the bodies that the process holds.
        on_load_change: called when other nodes should get a new load report.
        share_counters: metrics of the fair shares of callers; None without fair sharing.
        cold_start_bound: bound on the requests to a cold server, the default if None.

    Attributes:
        running: number of requests that run on the server.
        shutting_down: whether the node refuses new requests because it stops.
        run_count: number of requests that the server has answered.
        probe_count: number of probes of the server's speed.
        malformed_field_count: number of malformed fields in the server's answers.
    """

    def __init__(
        self,
        *,
        address: str,
        names: wire_names.WireNames,
        log: event_log.EventLog,
        limits: read_limits.ReadLimits,
        budget: buffer_budget.BufferBudget,
        on_load_change: Callable[[], None],
        share_counters: metrics.Metrics | None = None,
        cold_start_bound: settings.ColdStartSettings | None = None,
    ) -> None:
        self._address = address
        self._budget = budget
        self._names = names
        self._log = log
        self._on_load_change = on_load_change
        self._pool = server_pool.ServerPool(
            address=address,
            id_field=names.request_id,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            limits=limits,
            budget=budget,
        )
        self._queue = work_queue.WorkQueue(service_time_s=self._expected_service_time_s)
        self._share_gate = (
            None
            if share_counters is None
            else share_gate.ShareGate(queue=self._queue, log=log, counters=share_counters)
        )
        self._slot_grant_by_id: dict[int, asyncio.Future[None]] = {}
        self._entry_ids = itertools.count()
        self._report_ids = itertools.count()
        self._exchanges: set[asyncio.Task[Any]] = set()
        self._reservations = reservations.Reservations()
        self._service_times = service_times.ServiceTimes()
        self._speed = server_speed.ServerSpeed()
        self._health_path = ""
        self._probe: asyncio.Task[None] | None = None
        self._probe_interval = check_interval.CheckInterval(
            min_s=_MIN_PROBE_INTERVAL_S, max_s=_MAX_PROBE_INTERVAL_S
        )
        self._down_until_s = -math.inf
        self._lifecycle = server_lifecycle.ServerLifecycle(log=log)
        self._evacuated = False
        self._unreachable = False
        self._cold_server_id = ""
        self._concurrency_limit = knee_limit.KneeLimit(slots=1)
        self._completed_work = completed_work.CompletedWork()
        self._rate_limit = server_rate_limit.ServerRateLimit(log=log, on_change=on_load_change)
        self._coldness = server_coldness.ServerColdness(
            log=log, rate_limit=self._rate_limit, bound=cold_start_bound
        )
        self._stop_window: stop_window.StopWindow | None = None
        self.running = 0
        self.shutting_down = False
        self.run_count = 0
        self.probe_count = 0
        self.malformed_field_count = 0

    @property
    def server_id(self) -> str:
        """Id of the current server."""
        return self._lifecycle.server_id

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def opened_connection_count(self) -> int:
        """Number of connections opened to the server so far."""
        return self._pool.opened_count

    @property
    def limit(self) -> int:
        """Largest number of requests that run on the server at a time."""
        return self._concurrency_limit.limit(clock.now())

    @property
    def cold(self) -> bool:
        """Whether the server has a limit because it is cold, or may be cold."""
        return self._coldness.is_cold

    def set_cold_start(self, published: cold_start.ColdStart | None) -> None:
        """Applies the limit on requests to cold servers of the service, None without one."""
        self._coldness.configure(published)

    def apply(
        self,
        *,
        server_id: str,
        slots: int,
        health_path: str,
        cold: bool = False,
        started_ms: int = 0,
    ) -> None:
        """Applies the entry of the server and the health check path of its service.

        Args:
            server_id: id of the server.
            slots: number of requests that the server processes at a time.
            health_path: path of the health check, empty if there is none.
            cold: whether the server has just started.
            started_ms: Unix time of the start of the server in milliseconds, 0 if unknown.
        """
        self._health_path = health_path
        self._lifecycle.apply(server_id, started_ms)
        if cold and server_id != self._cold_server_id:
            self._cold_server_id = server_id
            self._speed.expect_cold()
        self._coldness.observe_registration(server_id, started_ms)
        self._set_slots(max(slots, 1))
        self._start_waiting_requests()

    def observe_draining(self, *, draining: bool) -> None:
        """Records whether the entry says that the server drains; a missing one counts as such.

        An entry does not undo that the server itself has said so.
        """
        self._lifecycle.observe_draining(draining=draining, waiting=self.waiting)

    def begin_stop(self, window: stop_window.StopWindow) -> None:
        """Refuses the requests that cannot be answered before the process ends."""
        self._stop_window = window
        self._shed_waiting_requests()

    def observe_evacuation(self, *, evacuated: bool) -> None:
        """Records whether the zone of the server is evacuated.

        While it is, the server gets neither requests nor health checks. Running requests finish.
        """
        if evacuated != self._evacuated:
            self._coldness.forget(self.server_id)
        self._evacuated = evacuated
        if evacuated:
            self._shed_waiting_requests()

    def report(self) -> frames.LoadReport:
        """Returns a load report for other nodes."""
        now = clock.now()
        speed = self._speed.current()
        return frames.LoadReport(
            self.server_id,
            next(self._report_ids),
            self.running,
            len(self._queue),
            self.limit,
            speed.slowness,
            self._speed.age_s(now),
            speed.slow_for_s,
            speed.baseline,
            speed.mean_slowdown_s,
            self._rate_limit.is_confirmed(self.server_id),
            self._rate_limit.bucket.rate_per_s,
            self._rate_limit.free_tokens(now, len(self._queue) + self._reservations.count(now)),
            self._completed_work.capacity(now),
        )

    def refusal(
        self, call_id: int, reason: str, retry_after_s: float = 0.0, share_level: int = 0
    ) -> frames.Refusal:
        """Returns a refusal with the current load report."""
        return frames.Refusal(call_id, reason, retry_after_s, self.report(), share_level)

    async def run(self, request: frames.Request | frames.Offer) -> Any:
        """Runs a request or decides on an offer; returns the frame that answers it."""
        if isinstance(request, frames.Offer):
            return await self._answer_offer(request)
        started_s = clock.now()
        deadline_s = started_s + request.remaining_s
        try:
            entry_id = await self._wait_for_slot(request, started_s, deadline_s)
        except errors.RefusedError as error:
            return self._refusal_of(request, error)
        exchange = asyncio.get_running_loop().create_task(
            self._exchange(request, deadline_s, entry_id)
        )
        self._exchanges.add(exchange)
        exchange.add_done_callback(self._exchanges.discard)
        try:
            # A non-idempotent request continues after its caller disconnects. Cancelling it
            # would leave its outcome unknown.
            return await asyncio.shield(exchange)
        except asyncio.CancelledError:
            if request.idempotent:
                exchange.cancel()
            else:
                self._count_body_until_end(exchange, len(request.body))
            raise

    def sweep(self) -> None:
        """Closes stale connections, and refuses or starts waiting requests."""
        self._pool.sweep()
        self._coldness.update()
        if self._coldness.should_check():
            self._start_probe(clock.now())
        self._start_waiting_requests()
        self._completed_work.observe_queue(clock.now(), contended=len(self._queue) > 0)

    def close(self) -> None:
        """Cancels all exchanges and closes the connections."""
        for task in list(self._exchanges):
            task.cancel()
        self._pool.close()

    # internals

    def _count_body_until_end(self, exchange: asyncio.Task[Any], body_bytes: int) -> None:
        """Counts the body of an exchange that goes on after its caller has released the body."""
        self._budget.take(body_bytes)
        exchange.add_done_callback(lambda _: self._budget.release(body_bytes))

    async def _answer_offer(self, offer: frames.Offer) -> frames.Acceptance | frames.Refusal:
        started_s = clock.now()
        try:
            await self._admit(
                offer, started_s, started_s + offer.remaining_s, offer_accepted=False
            )
        except errors.RefusedError as error:
            return self._refusal_of(offer, error)
        self._reservations.add(clock.now())
        if self._share_gate is not None:
            self._share_gate.reserve(offer, self._expected_service_time_s(offer.request_class))
        return frames.Acceptance(offer.call_id, self.report())

    def _refusal_of(
        self, request: frames.Request | frames.Offer, error: errors.RefusedError
    ) -> frames.Refusal:
        return self.refusal(request.call_id, error.reason, error.retry_after_s, error.share_level)

    async def _admit(
        self,
        request: frames.Request | frames.Offer,
        started_s: float,
        deadline_s: float,
        *,
        offer_accepted: bool,
    ) -> work_queue.WaitingRequest:
        """Returns a queue entry for a request that is admitted.

        Raises:
            RefusedError: this server cannot run the request or is not expected to answer in
                time.
        """
        await self._check_available(request, started_s)
        if isinstance(request, frames.Request):
            self._rate_limit.observe_sender(request.server_id, request.rate_limit_per_s)
        self._service_times.expect(request.request_class, request.service_time_s)
        service_time_s = self._expected_service_time_s(request.request_class)
        if started_s + service_time_s > deadline_s:
            raise errors.RefusedError("deadline")
        speed = self._speed.current()
        known = self._speed.age_s(started_s) < _MAX_SPEED_AGE_S
        if known and speed.slow and not request.expects_slowdown and not offer_accepted:
            raise errors.RefusedError("slow")
        entry = work_queue.WaitingRequest(
            entry_id=next(self._entry_ids),
            priority=request.priority,
            soft_deadline_s=started_s + request.soft_remaining_s,
            late_after_s=self._late_after_s(request, service_time_s, started_s),
            deadline_s=deadline_s,
            request_class=request.request_class,
            displaceable=not offer_accepted,
        )
        if self._share_gate is not None and not offer_accepted:
            short = self._is_short(service_time_s)
            entry = self._share_gate.rank(entry, request, service_time_s, short=short)
        wait_s = self._expected_wait_s(entry, service_time_s)
        reserved = self._reservations.count(started_s)
        limit_wait_s = self._rate_limit.bucket.wait_s(
            started_s, self._queue.count_ahead_of(entry, started_s) + reserved
        )
        if started_s + limit_wait_s + service_time_s > deadline_s:
            raise errors.RefusedError(_RATE_LIMIT_REASON, limit_wait_s)
        if offer_accepted:
            return entry
        retry_after_s = max(wait_s, limit_wait_s)
        if self._must_yield(entry, service_time_s):
            raise errors.RefusedError(_OVERLOADED_REASON, retry_after_s)
        if not self._queue.should_enqueue(entry, started_s, wait_s, reserved, limit_wait_s):
            if self._share_gate is None:
                raise errors.RefusedError(_OVERLOADED_REASON, retry_after_s)
            self._make_room(request, entry, service_time_s, retry_after_s)
        return entry

    async def _check_available(
        self, request: frames.Request | frames.Offer, started_s: float
    ) -> None:
        """Checks that the server that a request is for takes requests.

        Raises:
            RefusedError: it does not, or another server runs at its address.
        """
        if self.shutting_down or not self._can_finish(
            started_s, started_s + request.remaining_s, request.request_class
        ):
            raise errors.RefusedError(_LEAVING_REASON)
        if self._evacuated:
            raise errors.RefusedError(_EVACUATED_REASON)
        if self._lifecycle.is_drain_start_window_over(started_s):
            raise errors.RefusedError("server-draining")
        if started_s < self._down_until_s:
            raise errors.RefusedError("server-down")
        if request.server_id != self.server_id and not await self._is_current_server(
            request.server_id
        ):
            raise errors.RefusedError("other-server")
        if self._evacuated:
            # The evacuation may have begun during the probe for the id of the server.
            raise errors.RefusedError(_EVACUATED_REASON)

    def _can_finish(self, now: float, deadline_s: float, request_class: str) -> bool:
        """Returns whether a request is decided before the process ends."""
        if self._stop_window is None:
            return True
        service_time_s = self._service_times.observed(request_class) * self._speed.baseline
        return self._stop_window.can_finish(now, deadline_s, service_time_s)

    def _limit_to_stop(self, deadline_s: float) -> float:
        """Returns a deadline that does not come after the end of the process."""
        return deadline_s if self._stop_window is None else self._stop_window.limit(deadline_s)

    def _must_yield(self, entry: work_queue.WaitingRequest, service_time_s: float) -> bool:
        """Returns whether a request leaves the server to a class of a higher priority.

        Short requests are probably calls that a running request waits for.
        """
        if self._share_gate is None or self._is_short(service_time_s):
            return False
        contended = len(self._queue) > 0 or self.running >= self.limit
        return contended and self._share_gate.must_yield(entry)

    def _make_room(
        self,
        request: frames.Request | frames.Offer,
        entry: work_queue.WaitingRequest,
        service_time_s: float,
        retry_after_s: float,
    ) -> None:
        """Displaces requests of callers above their share, so that another one can wait.

        Raises:
            RefusedError: there are none, or the request would still be late.
        """
        if self._share_gate is None:
            return
        now = clock.now()
        reserved = self._reservations.count(now)
        ahead = self._queue.count_ahead_of(entry, now)

        def fits(fewer: int) -> bool:
            wait_s = self._expected_wait_s(entry, service_time_s, fewer)
            limit_wait_s = self._rate_limit.bucket.wait_s(now, ahead - fewer + reserved)
            return self._queue.should_enqueue(entry, now, wait_s, reserved, limit_wait_s)

        displaced = self._share_gate.make_room(entry, request, service_time_s, fits)
        if not displaced:
            excess = self._share_gate.observe_refused(request, service_time_s)
            raise errors.RefusedError(
                _OVERLOADED_REASON, max(retry_after_s, excess.retry_after_s), int(excess.level)
            )
        self._refuse_displaced(displaced)

    def _share_accepted(
        self, gate: share_gate.ShareGate, entry: work_queue.WaitingRequest, request: frames.Request
    ) -> None:
        """Counts a request that waits, and displaces those that it would make late."""
        now = clock.now()
        gate.accept(entry, request, self._expected_service_time_s(request.request_class))

        def end_s(waiting: work_queue.WaitingRequest, ahead: int) -> float:
            service_time_s = self._expected_service_time_s(waiting.request_class)
            return now + self._wait_behind_s(ahead, service_time_s) + service_time_s

        self._refuse_displaced(gate.crowd_out(end_s))

    def _refuse_displaced(self, displaced: list[displacement.Displacement]) -> None:
        for each in displaced:
            if self._share_gate is not None:
                self._share_gate.observe_displaced(each)
            service_time_s = self._expected_service_time_s(each.entry.request_class)
            wait_s = self._wait_behind_s(len(self._queue), service_time_s)
            self._refuse_waiting_request(
                each.entry,
                _OVERLOADED_REASON,
                max(wait_s, each.excess.retry_after_s),
                int(each.excess.level),
            )

    async def _wait_for_slot(
        self, request: frames.Request, started_s: float, deadline_s: float
    ) -> int:
        """Returns the number of the queue entry once the request may start.

        Raises:
            RefusedError: the request has not run and never will.
        """
        if request.offer_accepted:
            self._reservations.use(started_s)
        entry = await self._admit(
            request, started_s, deadline_s, offer_accepted=request.offer_accepted
        )
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._slot_grant_by_id[entry.entry_id] = granted
        self._queue.add(entry)
        if self._share_gate is not None:
            self._share_accepted(self._share_gate, entry, request)
        self._start_waiting_requests()
        try:
            await granted
        except asyncio.CancelledError:
            self._queue.remove(entry.entry_id)
            if granted.done() and not granted.cancelled() and granted.exception() is None:
                self._release_slot()
            if self._share_gate is not None:
                self._share_gate.cancel(entry.entry_id)
            raise
        finally:
            self._slot_grant_by_id.pop(entry.entry_id, None)
        return entry.entry_id

    def _late_after_s(
        self, request: frames.Request | frames.Offer, service_time_s: float, now: float
    ) -> float:
        """Returns the time after which an answer counts as late.

        For short requests this is the deadline, for others the soft deadline. Nested calls of a
        running request are not marked as such, but are short. Refusing one fails the running
        request and wastes its work; serving it late does not.
        """
        if self._is_short(service_time_s):
            return now + request.remaining_s
        return now + request.soft_remaining_s

    def _is_short(self, service_time_s: float) -> bool:
        mean_s = self._service_times.mean_s * self._speed.baseline
        return service_time_s < mean_s * _SHORT_REQUEST_SHARE

    def _expected_wait_s(
        self, entry: work_queue.WaitingRequest, service_time_s: float, fewer: int = 0
    ) -> float:
        """Returns the expected time in seconds until a slot is free for a request.

        Args:
            entry: the request.
            service_time_s: its service time.
            fewer: number of the requests ahead of it that are left out.
        """
        ahead = self._queue.count_ahead_of(entry, clock.now()) - fewer
        return self._wait_behind_s(ahead, service_time_s)

    def _wait_behind_s(self, ahead: int, service_time_s: float) -> float:
        """Returns the expected wait in seconds behind a number of waiting requests."""
        occupied = self.running + self._reservations.count(clock.now())
        return max(occupied + ahead + 1 - self.limit, 0) * service_time_s / self.limit

    async def _is_current_server(self, server_id: str) -> bool:
        """Returns whether an id is that of the current server; probes the server if necessary."""
        if not self._lifecycle.is_confirmed():
            self._start_probe(clock.now())
            if self._probe is not None:
                await asyncio.wait({self._probe})
        # Without a probe answer, the server checks the id in the request itself.
        return server_id == self.server_id or not self._lifecycle.is_confirmed()

    def _observe_server_id(self, value: bytes | None) -> None:
        if value is None:
            return
        received_id = value.decode("latin-1")
        if self._lifecycle.observe_id(received_id):
            self._coldness.forget(received_id)

    async def _exchange(self, request: frames.Request, deadline_s: float, entry_id: int) -> Any:
        connection: server_connection.ServerConnection | None = None
        request_id = fields.get(request.fields, self._names.request_id)
        sent_s = clock.now()
        slowness = self._speed.slowness
        running = self.running
        try:
            connection = await self._acquire_connection(request, request_id)
            if self._evacuated:
                return self.refusal(request.call_id, _EVACUATED_REASON)
            sent_s = clock.now()
            remaining_s = self._limit_to_stop(deadline_s) - sent_s
            if remaining_s <= 0:
                return self.refusal(request.call_id, "deadline")
            async with asyncio.timeout(remaining_s + _DEADLINE_GRACE_S):
                answer = await connection.send(
                    request.method,
                    server_request.encode_head(request, self._names, remaining_s),
                    request_id,
                    request.body,
                )
            service_time_s = clock.now() - sent_s
            self._observe_answered(request.server_id)
            if answer.status < 300 and slowness <= start_policy.SLOWNESS_THRESHOLD:
                self._concurrency_limit.observe(
                    now=sent_s + service_time_s,
                    running=running,
                    request_class=request.request_class,
                    service_time_s=service_time_s,
                )
            return self._classify_answer(request, answer, service_time_s, slowness)
        except TimeoutError:
            self._close_connection(connection)
            return frames.UnknownOutcome(request.call_id, "server-timeout", self.report())
        except http_errors.ConnectionClosedError:
            # A server resets connections while it is full. Nothing was written, so the request
            # did not run, and the server is not down.
            return self.refusal(request.call_id, "server-full")
        except http_errors.ConnectError:
            self._down_until_s = clock.now() + _DOWN_AFTER_CONNECT_ERROR_S
            self._coldness.forget(request.server_id)
            if not self._unreachable:
                self._unreachable = True
                self._log.write("server_lost", server=request.server_id)
            return self.refusal(request.call_id, "server-down")
        except http_errors.HttpError as error:
            self._log.write(
                "answer_broken",
                id=(request_id or b"").decode("latin-1"),
                server=request.server_id,
                error=str(error),
            )
            return frames.UnknownOutcome(request.call_id, "answer-broken", self.report())
        except asyncio.CancelledError:
            self._close_connection(connection)
            raise
        finally:
            if self._share_gate is not None:
                self._share_gate.finish(entry_id)
            self._release_slot()
            if connection is not None:
                self._pool.release(connection)

    def _observe_answered(self, server_id: str) -> None:
        self.run_count += 1
        if self._unreachable:
            self._unreachable = False
            self._log.write("server_regained", server=server_id)

    async def _acquire_connection(
        self, request: frames.Request, request_id: bytes | None
    ) -> server_connection.ServerConnection:
        if request_id is None:
            # On a used connection, its answer cannot be told from a late one to another request.
            return await self._pool.open()
        max_idle_s = _UNLIMITED_IDLE_S if request.idempotent else _MAX_IDLE_NON_IDEMPOTENT_S
        return await self._pool.acquire(max_idle_s, request_id)

    @staticmethod
    def _close_connection(connection: server_connection.ServerConnection | None) -> None:
        if connection is not None:
            connection.close()

    def _classify_answer(
        self,
        request: frames.Request,
        answer: answers.Answer,
        service_time_s: float,
        slowness: float,
    ) -> Any:
        value_by_name = dict(answer.fields)
        outcome = answer_outcome.classify(answer.status, answer.fields, self._names)
        self._observe_load(value_by_name.get(self._names.load))
        if outcome is not answer_outcome.Outcome.MISDIRECTED:
            self._observe_notice(answer, request.server_id, is_health_check=False)
        if outcome.proves_not_run:
            self._observe_server_id(value_by_name.get(self._names.server_id))
            return self.refusal(request.call_id, outcome.value)
        if outcome is answer_outcome.Outcome.UNSIGNED:
            return frames.UnknownOutcome(request.call_id, outcome.value, self.report())
        if answer.status < 300:
            work_s = service_time_s / max(slowness, 1.0)
            self._service_times.observe(request.request_class, work_s)
            self._completed_work.observe_completed(clock.now(), work_s)
        head = fields.forwarded(list(answer.fields))
        return frames.Answer(
            request.call_id,
            answer.status,
            answer.reason,
            head,
            answer.body,
            service_time_s,
            self.report(),
            slowness,
        )

    def _observe_load(self, value: bytes | None) -> None:
        load = load_header.parse(value) if value is not None else None
        if load is None:
            return
        changed = self._speed.observe(load.slowness)
        self._set_slots(load.slots)
        if changed:
            self._on_load_change()

    def _observe_notice(
        self, answer: answers.Answer, server_id: str, *, is_health_check: bool
    ) -> None:
        """Applies the rate limit in an answer of the server, and whether the server leaves.

        A health check without one says nothing about requests.
        """
        notice = server_notice.parse(answer.fields, self._names)
        for name, value in notice.malformed:
            self.malformed_field_count += 1
            self._log.write(
                "field_malformed",
                server=server_id,
                name=name.decode("latin-1"),
                value=value.decode("latin-1"),
            )
        if is_health_check and not notice.cold_malformed:
            self._coldness.observe_check(notice.cold_remaining_s or 0.0)
        if notice.leaving and self._lifecycle.observe_leaving(server_id):
            self.observe_draining(draining=True)
        if notice.limit_malformed or (is_health_check and notice.rate_limit_per_s is None):
            return
        self._rate_limit.observe_server(server_id, notice.rate_limit_per_s)

    def _set_slots(self, slots: int) -> None:
        if slots != self._concurrency_limit.slots:
            self._concurrency_limit = knee_limit.KneeLimit(slots=slots)

    def _expected_service_time_s(self, request_class: str) -> float:
        """Returns the expected service time in seconds outside a slowdown."""
        return self._service_times.of_class(request_class) * self._speed.baseline

    def _release_slot(self) -> None:
        self.running -= 1
        self._start_waiting_requests()

    def _start_waiting_requests(self) -> None:
        """Starts waiting requests while slots are free and the server's speed allows it."""
        self._shed_waiting_requests()
        if not len(self._queue) or self.running >= self.limit:
            return
        now = clock.now()
        if self._coldness.must_check() and self._start_probe(now):
            return
        if not self._rate_limit.bucket.can_admit(now):
            return
        if self._speed.age_s(now) > _MAX_SPEED_AGE_S and self._start_probe(now):
            return
        deferred: list[work_queue.WaitingRequest] = []
        speed = self._speed.current()
        while self.running < self.limit and self._rate_limit.bucket.can_admit(now):
            entry = self._queue.pop_next(now)
            if entry is None:
                break
            if start_policy.should_start_now(
                speed=speed,
                service_time_s=self._service_times.of_class(entry.request_class),
                remaining_s=entry.deadline_s - now,
            ):
                self._grant_slot(entry)
            else:
                deferred.append(entry)
        for entry in deferred:
            self._queue.add(entry)

    def _grant_slot(self, entry: work_queue.WaitingRequest) -> None:
        granted = self._slot_grant_by_id.get(entry.entry_id)
        if granted is not None and not granted.done():
            self.running += 1
            self._rate_limit.bucket.admit(clock.now())
            self._coldness.observe_start()
            granted.set_result(None)

    def _start_probe(self, now: float) -> bool:
        """Starts a probe of the server's speed; returns whether one is in progress."""
        if not self._health_path or self._evacuated:
            return False
        if self._probe is not None:
            return True
        if not self._probe_interval.is_due(now):
            return False
        self._probe_interval.observe_start(now)
        self.probe_count += 1
        self._probe = asyncio.get_running_loop().create_task(self._run_probe())
        return True

    async def _run_probe(self) -> None:
        connection: server_connection.ServerConnection | None = None
        encoded = fields.encode(
            b"GET %b HTTP/1.1" % self._health_path.encode(), [(b"host", self._address.encode())]
        )
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                connection = await self._pool.acquire(_UNLIMITED_IDLE_S)
                self._coldness.begin_check()
                answer = await connection.send(b"GET", encoded, limits=_PROBE_READ_LIMITS)
            self._probe_interval.observe_answer()
            self._observe_server_id(fields.get(answer.fields, self._names.server_id))
            self._observe_load(fields.get(answer.fields, self._names.load))
            self._observe_notice(answer, self.server_id, is_health_check=True)
        except (TimeoutError, http_errors.HttpError) as error:
            self._log.write("probe_failed", server=self.server_id, error=str(error))
            if isinstance(error, http_errors.BadMessageError):
                self._probe_interval.observe_invalid_answer()
            self._coldness.observe_failed_check()
            self._close_connection(connection)
        finally:
            self._probe = None
            if connection is not None:
                self._pool.release(connection)
        self._start_waiting_requests()

    def _shed_waiting_requests(self) -> None:
        now = clock.now()
        while self._evacuated and (evicted := self._queue.pop_next(now)) is not None:
            self._refuse_waiting_request(evicted, _EVACUATED_REASON)
        for entry in self._queue.shed(now):
            self._refuse_waiting_request(entry, "deadline")
        if self._stop_window is not None:
            self._shed_unfinishable_requests(now)
        if self._rate_limit.bucket.rate_per_s is not None:
            for entry in self._queue.shed_unreachable(
                now, lambda ahead: self._rate_limit.bucket.wait_s(now, ahead)
            ):
                retry_after_s = self._rate_limit.bucket.wait_s(now, len(self._queue))
                self._refuse_waiting_request(entry, _RATE_LIMIT_REASON, retry_after_s)
        while (
            self._lifecycle.is_drain_start_window_over(now)
            and (waiting := self._queue.pop_next(now)) is not None
        ):
            self._refuse_waiting_request(waiting, "server-draining")

    def _shed_unfinishable_requests(self, now: float) -> None:
        """Refuses waiting requests that would still run when the process ends."""
        for entry in self._queue.in_order(now):
            if not self._can_finish(now, entry.deadline_s, entry.request_class):
                self._queue.remove(entry.entry_id)
                self._refuse_waiting_request(entry, _LEAVING_REASON)

    def _refuse_waiting_request(
        self,
        entry: work_queue.WaitingRequest,
        reason: str,
        retry_after_s: float = 0.0,
        share_level: int = 0,
    ) -> None:
        if self._share_gate is not None:
            self._share_gate.withdraw(entry)
        granted = self._slot_grant_by_id.get(entry.entry_id)
        if granted is not None and not granted.done():
            granted.set_exception(errors.RefusedError(reason, retry_after_s, share_level))
