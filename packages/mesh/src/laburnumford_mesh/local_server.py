"""The backend server beside this node: order, limit and exchange."""

import asyncio
import itertools
import math
from collections.abc import Callable
from typing import Any

from laburnumford_mesh import (
    clock,
    errors,
    event_log,
    frames,
    load_header,
    server_request,
    server_speed,
    wire_names,
)
from laburnumford_mesh.http import answer as answers
from laburnumford_mesh.http import server_connection, server_pool
from laburnumford_node.http import errors as http_errors
from laburnumford_node.http import fields
from laburnumford_policy.placement import (
    knee_limit,
    reservations,
    running_means,
    start_policy,
    work_queue,
)

_CONNECT_TIMEOUT_S = 0.5
"""Seconds; the server is on the same VM and takes 1 ms."""

_ANY_IDLE_S = math.inf
_UNREPEATABLE_IDLE_S = 0.3
"""A server may drop an idle connection without notice, and what is sent next is reset. A
request that must not run twice could not be sent again, so it gets a connection that was in
use a moment ago, or a new one."""

_WORK_WEIGHT = 0.1
"""Weight of one run in the mean: about the last ten count."""

_DEFAULT_WORK_S = 0.05
"""Seconds, until the first run of a kind tells better."""

_SHORT_SHARE = 0.6
"""Work below this share of the server's mean is cheap to serve even if it is late."""

_SAMPLE_S = 0.03
"""A speed older than this is asked for again before work starts. Speeds change about every
150 ms."""

_PROBE_TIMEOUT_S = 0.05
"""Probes are answered in 6 ms. Without an answer work starts on the last known speed."""

_PROBE_PAUSE_S = 0.02
"""Bounds the probes to 50 a second; the platform allows 60."""

_IDENTITY_S = 0.2
"""How long the server's own word on its id is relied upon. A server may end and another one
start at its address within some seconds."""

_DOWN_S = 0.3
"""After a refused connection the server is taken to be down for this long."""

_DRAIN_START_S = 1.0
"""Seconds after which nothing starts on a draining server. Half of the shortest published time
in which requests have to stay away; those that wait then find another server."""

_DEADLINE_GRACE_S = 0.03
"""The server's own answer at the deadline arrives a moment after it."""


class LocalServer:
    """Runs requests on the server beside this node.

    Args:
        address: ``ip:port`` of the server.
        names: header field names.
        log: structured log.
        on_load_change: called when callers should hear of the server's load.
    """

    def __init__(
        self,
        *,
        address: str,
        names: wire_names.WireNames,
        log: event_log.EventLog,
        on_load_change: Callable[[], None],
    ) -> None:
        self._address = address
        self._names = names
        self._log = log
        self._on_load_change = on_load_change
        self._pool = server_pool.ServerPool(
            address=address, id_field=names.request_id, connect_timeout_s=_CONNECT_TIMEOUT_S
        )
        self._queue = work_queue.WorkQueue(service_time_s=self._expected_work_s)
        self._grant_by_id: dict[int, asyncio.Future[None]] = {}
        self._entry_ids = itertools.count()
        self._report_ids = itertools.count()
        self._detached: set[asyncio.Task[Any]] = set()
        self._kept = reservations.Reservations()
        self._work_s = running_means.RunningMeans(weight=_WORK_WEIGHT)
        self._usual_work_s = 0.0
        self._speed = server_speed.ServerSpeed()
        self._health_path = ""
        self._probe: asyncio.Task[None] | None = None
        self._probed_s = -math.inf
        self._down_until_s = -math.inf
        self._draining_from_s: float | None = None
        self._lost = False
        self.server_id = ""
        self._confirmed_s = -math.inf
        self._knee = knee_limit.KneeLimit(slots=1)
        self.running = 0
        self.leaving = False
        self.runs_count = 0
        self.probes_count = 0

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._queue)

    @property
    def connections_opened(self) -> int:
        """Connections opened so far."""
        return self._pool.opened_count

    @property
    def limit(self) -> int:
        """Requests that run at the same time."""
        return self._knee.limit(clock.now())

    def apply(self, *, server_id: str, slots: int, health_path: str) -> None:
        """Takes over the server's entry and the health path of its service."""
        self._health_path = health_path
        if not self._is_confirmed():
            self.server_id = server_id
        self._set_slots(max(slots, 1))
        self._start_waiting()

    def observe_draining(self, *, draining: bool) -> None:
        """Notes whether the server is about to end, or its entry is gone."""
        if not draining:
            self._draining_from_s = None
        elif self._draining_from_s is None:
            self._draining_from_s = clock.now()
            self._log.write("server_draining", server=self.server_id, waiting=self.waiting)

    def report(self) -> frames.LoadReport:
        """Returns the load as callers should know it."""
        now = clock.now()
        return frames.LoadReport(
            self.server_id,
            next(self._report_ids),
            self.running,
            len(self._queue),
            self.limit,
            self._speed.slowness,
            self._speed.age_s(now),
            self._speed.current().slow_for_s,
        )

    def refusal(self, call_id: int, reason: str, retry_after_s: float = 0.0) -> frames.Refusal:
        """Returns a refusal of a call."""
        return frames.Refusal(call_id, reason, retry_after_s, self.report())

    async def run(self, request: frames.Request | frames.Offer) -> Any:
        """Runs a request, or considers an offer; returns the frame that answers it."""
        if isinstance(request, frames.Offer):
            return await self._consider(request)
        started_s = clock.now()
        deadline_s = started_s + request.remaining_s
        try:
            await self._take_slot(request, started_s, deadline_s)
        except errors.RefusedError as error:
            return self.refusal(request.call_id, error.reason, error.retry_after_s)
        exchange = asyncio.get_running_loop().create_task(self._exchange(request, deadline_s))
        self._detached.add(exchange)
        exchange.add_done_callback(self._detached.discard)
        try:
            # Work that must not run twice goes on when its caller has left: breaking it off
            # leaves nobody knowing whether it was done.
            return await asyncio.shield(exchange)
        except asyncio.CancelledError:
            if request.idempotent:
                exchange.cancel()
            raise

    def sweep(self) -> None:
        """Drops connections and waiting requests whose time has passed."""
        self._pool.sweep()
        self._start_waiting()

    def close(self) -> None:
        """Ends all exchanges."""
        for task in list(self._detached):
            task.cancel()
        self._pool.close()

    # internals

    async def _consider(self, offer: frames.Offer) -> frames.Acceptance | frames.Refusal:
        started_s = clock.now()
        try:
            await self._admit(offer, started_s, started_s + offer.remaining_s, offered=False)
        except errors.RefusedError as error:
            return self.refusal(offer.call_id, error.reason, error.retry_after_s)
        self._kept.add(clock.now())
        return frames.Acceptance(offer.call_id, self.report())

    async def _admit(
        self,
        request: frames.Request | frames.Offer,
        started_s: float,
        deadline_s: float,
        *,
        offered: bool,
    ) -> work_queue.WaitingRequest:
        """Returns the place of a request in the queue.

        Raises:
            RefusedError: another server would be better, or none can do it in time.
        """
        if self.leaving:
            raise errors.RefusedError("leaving")
        if self._is_drained(started_s):
            raise errors.RefusedError("server-draining")
        if started_s < self._down_until_s:
            raise errors.RefusedError("server-down")
        if request.server_id != self.server_id and not await self._is_server(request.server_id):
            raise errors.RefusedError("other-server")
        work_s = self._expected_work_s(request.request_class)
        if started_s + work_s > deadline_s:
            raise errors.RefusedError("deadline")
        speed = self._speed.current()
        known = self._speed.age_s(started_s) < _SAMPLE_S
        if known and speed.slow and not request.expects_slowdown and not offered:
            raise errors.RefusedError("slow")
        entry = work_queue.WaitingRequest(
            entry_id=next(self._entry_ids),
            priority=request.priority,
            soft_deadline_s=started_s + request.soft_remaining_s,
            late_after_s=self._useful_until_s(request, work_s, started_s),
            deadline_s=deadline_s,
            request_class=request.request_class,
        )
        wait_s = self._expected_wait_s(entry, work_s)
        coming = self._kept.count(started_s)
        if not offered and not self._queue.should_enqueue(entry, started_s, wait_s, coming):
            raise errors.RefusedError("overloaded", wait_s)
        return entry

    async def _take_slot(
        self, request: frames.Request, started_s: float, deadline_s: float
    ) -> None:
        if request.offer_accepted:
            self._kept.use(started_s)
        entry = await self._admit(request, started_s, deadline_s, offered=request.offer_accepted)
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._grant_by_id[entry.entry_id] = granted
        self._queue.add(entry)
        self._start_waiting()
        try:
            await granted
        except asyncio.CancelledError:
            self._queue.remove(entry.entry_id)
            if granted.done() and not granted.cancelled() and granted.exception() is None:
                self._end_run()
            raise
        finally:
            self._grant_by_id.pop(entry.entry_id, None)

    def _is_drained(self, now: float) -> bool:
        since_s = self._draining_from_s
        return since_s is not None and now - since_s > _DRAIN_START_S

    def _useful_until_s(
        self, request: frames.Request | frames.Offer, work_s: float, now: float
    ) -> float:
        """Returns the time until which an answer has its full worth.

        Calls that a running request makes look like others, but are short. Failing one fails
        the request that waits for it and loses the work done there; serving it late does not.
        """
        if work_s < self._usual_work_s * _SHORT_SHARE:
            return now + request.remaining_s
        return now + request.soft_remaining_s

    def _expected_wait_s(self, entry: work_queue.WaitingRequest, work_s: float) -> float:
        """Returns the expected time until a slot is free for a request."""
        now = clock.now()
        coming = self.running + self._kept.count(now)
        ahead = coming + self._queue.count_ahead_of(entry, now) + 1 - self.limit
        return max(ahead, 0) * work_s / self.limit

    async def _is_server(self, server_id: str) -> bool:
        """Asks the server for its id, unless it has told it a moment ago."""
        if not self._is_confirmed():
            self._start_probe(clock.now())
            if self._probe is not None:
                await asyncio.wait({self._probe})
        # Without an answer the server itself decides by the id in the request.
        return server_id == self.server_id or not self._is_confirmed()

    def _is_confirmed(self) -> bool:
        return clock.now() - self._confirmed_s < _IDENTITY_S

    def _observe_identity(self, value: bytes | None) -> None:
        if value is None:
            return
        self._confirmed_s = clock.now()
        found = value.decode("latin-1")
        if found != self.server_id:
            self._log.write("server_changed", server=found, previous=self.server_id)
            self.server_id = found

    async def _exchange(self, request: frames.Request, deadline_s: float) -> Any:
        connection: server_connection.ServerConnection | None = None
        sent_s = clock.now()
        slowness = self._speed.slowness
        running = self.running
        try:
            max_idle_s = _ANY_IDLE_S if request.idempotent else _UNREPEATABLE_IDLE_S
            try:
                connection = await self._pool.acquire(max_idle_s)
            except http_errors.ConnectError:
                self._down_until_s = clock.now() + _DOWN_S
                if not self._lost:
                    self._lost = True
                    self._log.write("server_lost", server=request.server_id)
                return self.refusal(request.call_id, "server-down")
            sent_s = clock.now()
            left_s = deadline_s - sent_s
            if left_s <= 0:
                return self.refusal(request.call_id, "deadline")
            async with asyncio.timeout(left_s + _DEADLINE_GRACE_S):
                answer = await connection.send(
                    request.method,
                    server_request.encode(request, self._names, left_s),
                    fields.get(request.fields, self._names.request_id),
                )
            self.runs_count += 1
            if self._lost:
                self._lost = False
                self._log.write("server_regained", server=request.server_id)
            work_s = clock.now() - sent_s
            if answer.status < 300 and slowness <= start_policy.SLOWNESS_THRESHOLD:
                self._knee.observe(
                    now=sent_s + work_s,
                    running=running,
                    request_class=request.request_class,
                    service_time_s=work_s,
                )
            return self._judge(request, answer, work_s, slowness)
        except TimeoutError:
            self._close(connection)
            return frames.UnknownOutcome(request.call_id, "server-timeout", self.report())
        except http_errors.ConnectError as error:
            return self.refusal(request.call_id, str(error))
        except http_errors.HttpError as error:
            self._log.write("answer_broken", server=request.server_id, error=str(error))
            return frames.UnknownOutcome(request.call_id, "answer-broken", self.report())
        except asyncio.CancelledError:
            self._close(connection)
            raise
        finally:
            self._end_run()
            if connection is not None:
                self._pool.release(connection)

    @staticmethod
    def _close(connection: server_connection.ServerConnection | None) -> None:
        if connection is not None:
            connection.close()

    def _judge(
        self, request: frames.Request, answer: answers.Answer, work_s: float, slowness: float
    ) -> Any:
        value_by_name = dict(answer.fields)
        self._observe_load(value_by_name.get(self._names.load))
        if answer.status == 421 or self._names.not_run in value_by_name:
            self._observe_identity(value_by_name.get(self._names.server_id))
            reason = "misdirected" if answer.status == 421 else "server-refused"
            return self.refusal(request.call_id, reason)
        if answer.status < 300 and self._names.signature not in value_by_name:
            return frames.UnknownOutcome(request.call_id, "answer-unsigned", self.report())
        if answer.status < 300:
            self._observe_work(request.request_class, work_s / max(slowness, 1.0))
        head = fields.forwarded(list(answer.fields))
        return frames.Answer(
            request.call_id, answer.status, answer.reason, head, answer.body, work_s, self.report()
        )

    def _observe_load(self, value: bytes | None) -> None:
        load = load_header.parse(value) if value is not None else None
        if load is None:
            return
        changed = self._speed.observe(load.slowness)
        self._set_slots(load.slots)
        if changed:
            self._on_load_change()

    def _set_slots(self, slots: int) -> None:
        if slots != self._knee.slots:
            self._knee = knee_limit.KneeLimit(slots=slots)

    def _observe_work(self, work_key: str, work_s: float) -> None:
        usual = self._usual_work_s or work_s
        self._usual_work_s = usual + _WORK_WEIGHT * (work_s - usual)
        self._work_s.observe(work_key, work_s)

    def _expected_work_s(self, work_key: str) -> float:
        return self._work_s.mean(work_key, _DEFAULT_WORK_S)

    def _end_run(self) -> None:
        self.running -= 1
        self._start_waiting()

    def _start_waiting(self) -> None:
        """Starts what waits, as far as slots and the server's speed allow it."""
        self._drop_hopeless()
        if not len(self._queue) or self.running >= self.limit:
            return
        now = clock.now()
        if self._speed.age_s(now) > _SAMPLE_S and self._start_probe(now):
            return
        held: list[work_queue.WaitingRequest] = []
        speed = self._speed.current()
        while self.running < self.limit:
            entry = self._queue.pop_next(now)
            if entry is None:
                break
            if start_policy.should_start_now(
                speed=speed,
                service_time_s=self._expected_work_s(entry.request_class),
                remaining_s=entry.deadline_s - now,
            ):
                self._grant(entry)
            else:
                held.append(entry)
        for entry in held:
            self._queue.add(entry)

    def _grant(self, entry: work_queue.WaitingRequest) -> None:
        granted = self._grant_by_id.get(entry.entry_id)
        if granted is not None and not granted.done():
            self.running += 1
            granted.set_result(None)

    def _start_probe(self, now: float) -> bool:
        """Asks the server for its speed; returns whether an answer is to be expected."""
        if not self._health_path:
            return False
        if self._probe is not None:
            return True
        if now - self._probed_s < _PROBE_PAUSE_S:
            return False
        self._probed_s = now
        self.probes_count += 1
        self._probe = asyncio.get_running_loop().create_task(self._ask_speed())
        return True

    async def _ask_speed(self) -> None:
        connection: server_connection.ServerConnection | None = None
        encoded = fields.encode(
            b"GET %b HTTP/1.1" % self._health_path.encode(), [(b"host", self._address.encode())]
        )
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                connection = await self._pool.acquire(_ANY_IDLE_S)
                answer = await connection.send(b"GET", encoded)
            self._observe_identity(fields.get(answer.fields, self._names.server_id))
            self._observe_load(fields.get(answer.fields, self._names.load))
        except (TimeoutError, http_errors.HttpError) as error:
            self._log.write("probe_failed", server=self.server_id, error=str(error))
            self._close(connection)
        finally:
            self._probe = None
            if connection is not None:
                self._pool.release(connection)
        self._start_waiting()

    def _drop_hopeless(self) -> None:
        now = clock.now()
        for entry in self._queue.shed(now):
            self._refuse_waiting(entry, "deadline")
        while self._is_drained(now) and (waiting := self._queue.pop_next(now)) is not None:
            self._refuse_waiting(waiting, "server-draining")

    def _refuse_waiting(self, entry: work_queue.WaitingRequest, reason: str) -> None:
        granted = self._grant_by_id.get(entry.entry_id)
        if granted is not None and not granted.done():
            granted.set_exception(errors.RefusedError(reason))
