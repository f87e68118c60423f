"""The backend server beside this node: order, limit and exchange."""

import asyncio
import itertools
import math
from collections.abc import Callable
from typing import Any

from laburnumford_mesh import clock, errors, event_log, frames, load_header, wire_names
from laburnumford_mesh.http import answer as answers
from laburnumford_mesh.http import server_connection
from laburnumford_node.http import errors as http_errors
from laburnumford_node.http import fields
from laburnumford_policy.placement import work_queue

_CONNECT_TIMEOUT_S = 0.5
_ANY_IDLE_S = math.inf
_UNREPEATABLE_IDLE_S = 0.3
"""A server may drop an idle connection without notice, and what is sent next is reset. A
request that must not run twice could not be sent again, so it gets a connection that was in
use a moment ago, or a new one."""

_WORK_WEIGHT = 0.1
_DEFAULT_WORK_S = 0.05
_SLOWNESS_MEMORY_S = 0.15
_DOWN_S = 0.3
"""After a refused connection the server is taken to be down for this long."""

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
        self._pool = server_connection.ServerPool(
            address=address, id_field=names.request_id, connect_timeout_s=_CONNECT_TIMEOUT_S
        )
        self._queue = work_queue.WorkQueue(work_s=self._expected_work_s)
        self._grant_by_id: dict[int, asyncio.Future[None]] = {}
        self._entry_ids = itertools.count()
        self._report_ids = itertools.count()
        self._detached: set[asyncio.Task[Any]] = set()
        self._work_s_by_key: dict[str, float] = {}
        self._slowness = 1.0
        self._slowness_at_s = -math.inf
        self._mean_slowness = 1.0
        self._down_until_s = -math.inf
        self.server_id = ""
        self.slots = 1
        self.running = 0
        self.leaving = False
        self.runs_count = 0

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
        return self.slots

    def apply(self, *, server_id: str, slots: int) -> None:
        """Takes over the server's entry."""
        self.server_id = server_id
        self.slots = max(slots, 1)
        self._start_waiting()

    def report(self) -> frames.LoadReport:
        """Returns the load as callers should know it."""
        now = clock.now()
        return frames.LoadReport(
            self.server_id,
            next(self._report_ids),
            self.running,
            len(self._queue),
            self.limit,
            self._slowness,
            min(now - self._slowness_at_s, 3600.0),
        )

    async def run(self, request: frames.Request) -> Any:
        """Runs a request and returns the frame that answers it."""
        started_s = clock.now()
        deadline_s = started_s + request.left_s
        try:
            await self._take_slot(request, started_s, deadline_s)
        except errors.RefusedError as error:
            return frames.Refusal(
                request.call_id, error.reason, error.retry_after_s, self.report()
            )
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
        self._drop_hopeless()

    def close(self) -> None:
        """Ends all exchanges."""
        for task in list(self._detached):
            task.cancel()
        self._pool.close()

    # internals

    async def _take_slot(
        self, request: frames.Request, started_s: float, deadline_s: float
    ) -> None:
        if self.leaving:
            raise errors.RefusedError("leaving")
        if started_s < self._down_until_s:
            raise errors.RefusedError("server-down")
        work_s = self._expected_work_s(request.work_key)
        if started_s + work_s / max(self._slowness_now(), 1.0) > deadline_s:
            raise errors.RefusedError("deadline")
        entry = work_queue.WaitingRequest(
            entry_id=next(self._entry_ids),
            nested=request.nested,
            priority=request.priority,
            aim_s=started_s + request.aim_left_s,
            deadline_s=deadline_s,
            work_key=request.work_key,
        )
        if self.running < self.limit and not len(self._queue):
            self.running += 1
            return
        rounds = (self._queue.ahead_of(entry) + 1) / self.limit
        if started_s + work_s * (rounds + 1) > deadline_s:
            raise errors.RefusedError("overloaded", work_s * rounds)
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._grant_by_id[entry.entry_id] = granted
        self._queue.add(entry)
        try:
            await granted
        except asyncio.CancelledError:
            self._queue.remove(entry.entry_id)
            if granted.done() and not granted.cancelled() and granted.exception() is None:
                self._end_run()
            raise
        finally:
            self._grant_by_id.pop(entry.entry_id, None)

    async def _exchange(self, request: frames.Request, deadline_s: float) -> Any:
        connection: server_connection.ServerConnection | None = None
        sent_s = clock.now()
        try:
            max_idle_s = _ANY_IDLE_S if request.idempotent else _UNREPEATABLE_IDLE_S
            try:
                connection = await self._pool.acquire(max_idle_s)
            except http_errors.ConnectError:
                self._down_until_s = clock.now() + _DOWN_S
                self._log.write("server_down", server=request.server_id)
                return frames.Refusal(request.call_id, "server-down", 0.0, self.report())
            sent_s = clock.now()
            left_s = deadline_s - sent_s
            if left_s <= 0:
                return frames.Refusal(request.call_id, "deadline", 0.0, self.report())
            async with asyncio.timeout(left_s + _DEADLINE_GRACE_S):
                answer = await connection.send(
                    request.method,
                    self._encode(request, left_s),
                    fields.get(request.fields, self._names.request_id),
                )
            self.runs_count += 1
            return self._judge(request, answer, clock.now() - sent_s)
        except TimeoutError:
            self._close(connection)
            return frames.Unknown(request.call_id, "server-timeout", self.report())
        except http_errors.ConnectError as error:
            return frames.Refusal(request.call_id, str(error), 0.0, self.report())
        except http_errors.HttpError as error:
            self._log.write("answer_broken", server=request.server_id, error=str(error))
            return frames.Unknown(request.call_id, "answer-broken", self.report())
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

    def _encode(self, request: frames.Request, left_s: float) -> bytes:
        names = self._names
        head = [
            *request.fields,
            (names.timeout_ms, b"%d" % max(int(left_s * 1000), 1)),
            (names.target_server, request.server_id.encode()),
        ]
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            head.append((b"content-length", str(len(request.body)).encode()))
        return (
            fields.encode(b"%b %b HTTP/1.1" % (request.method, request.target), head)
            + request.body
        )

    def _judge(self, request: frames.Request, answer: answers.Answer, work_s: float) -> Any:
        value_by_name = dict(answer.fields)
        self._observe_load(value_by_name.get(self._names.load))
        if answer.status == 421 or self._names.not_run in value_by_name:
            reason = "other-server" if answer.status == 421 else "server-refused"
            return frames.Refusal(request.call_id, reason, 0.0, self.report())
        if answer.status < 300 and self._names.signature not in value_by_name:
            return frames.Unknown(request.call_id, "answer-unsigned", self.report())
        if answer.status < 300:
            self._observe_work(request.work_key, work_s)
        head = fields.forwarded(list(answer.fields))
        return frames.Answer(
            request.call_id,
            answer.status,
            answer.reason,
            head,
            answer.body,
            work_s,
            self.report(),
        )

    def _observe_load(self, value: bytes | None) -> None:
        load = load_header.parse(value) if value is not None else None
        if load is None:
            return
        changed = abs(load.slowness - self._slowness) > 0.3 * self._slowness
        self._slowness = load.slowness
        self._slowness_at_s = clock.now()
        self._mean_slowness += 0.02 * (load.slowness - self._mean_slowness)
        self.slots = load.slots
        if changed:
            self._on_load_change()

    def _observe_work(self, work_key: str, work_s: float) -> None:
        known = self._work_s_by_key.get(work_key, work_s)
        self._work_s_by_key[work_key] = known + _WORK_WEIGHT * (work_s - known)

    def _expected_work_s(self, work_key: str) -> float:
        return self._work_s_by_key.get(work_key, _DEFAULT_WORK_S)

    def _slowness_now(self) -> float:
        age_s = clock.now() - self._slowness_at_s
        weight = math.exp(-age_s / _SLOWNESS_MEMORY_S)
        return self._mean_slowness + (self._slowness - self._mean_slowness) * weight

    def _end_run(self) -> None:
        self.running -= 1
        self._start_waiting()

    def _start_waiting(self) -> None:
        self._drop_hopeless()
        while self.running < self.limit:
            entry = self._queue.pop_next(clock.now())
            if entry is None:
                return
            granted = self._grant_by_id.get(entry.entry_id)
            if granted is not None and not granted.done():
                self.running += 1
                granted.set_result(None)

    def _drop_hopeless(self) -> None:
        for entry in self._queue.pop_hopeless(clock.now()):
            granted = self._grant_by_id.get(entry.entry_id)
            if granted is not None and not granted.done():
                granted.set_exception(errors.RefusedError("deadline"))
