"""Finds a backend server for a request, and another one where that is allowed."""

import asyncio
import itertools
from typing import Any

import msgspec

from laburnumford_mesh import (
    call,
    clock,
    errors,
    event_log,
    frames,
    local_server,
    metrics,
    peer,
    peers,
    services,
)
from laburnumford_policy.placement import server_view

_MAX_REFUSALS = 5
"""A request that so many nodes had no room for finds the service full."""

_MIN_LEFT_S = 0.01
"""With less time left than this no server is asked any more."""

_UNREACHABLE_BLOCK_S = 0.5
"""Seconds; a lost opening packet of a connection is sent again after 1 s at most."""

_LEAVING_BLOCK_S = 1.0
"""Seconds; a stopping node is gone for longer, and its go-away follows."""

_DOWN_BLOCK_S = 0.3
"""Seconds; as long as the server's own node takes it to be down."""

_GONE_BLOCK_S = 5.0
"""Another server has the address; the entry of the one before it expires within seconds."""

_DEFAULT_WORK_S = 0.05
"""Seconds, until the first answer of a kind tells better."""

_HEDGE_FACTOR = 2.0
"""A second server is asked when the first takes twice the time that was expected of it."""

_HEDGE_FLOOR_S = 0.03
"""Seconds; less than ten round trips between zones are no sign of a slow server."""

_OFFER_BODY_BYTES = 16_000
"""A body of this size takes 25 ms on a link of 5 Mbit/s, ten round trips between zones. It is
sent to a server that takes the request, instead of to several that refuse it."""

_OFFER_QUIET_S = 0.1
"""Seconds. A node that was heard more recently is there. Another one is asked before it gets a
request that must not run twice: what is sent into a cut leaves its outcome unknown."""

_OFFER_TIMEOUT_S = 0.25
"""Seconds; a node that takes longer to answer a message of 100 bytes is cut off, or sits behind
a congested link that a body would congest further."""

_OFFER_SILENT_REASON = "peer-silent"

_ARRIVED_REASONS = frozenset({"server-refused", "misdirected"})
"""Refusals by a server itself: the request reached it, which counts as an arrival."""

_SLOW_REASON = "slow"
"""The server is in a slow spell that this node did not know of; it may still be the best."""

_MAX_SLOW_REFUSALS = 4
"""Each costs a round trip of up to 3 ms; a spell lasts some 100 ms. After so many the whole
service is slow, and the next server takes the request all the same."""

_BLOCK_S_BY_REASON = {
    "peer-unreachable": _UNREACHABLE_BLOCK_S,
    _OFFER_SILENT_REASON: _DOWN_BLOCK_S,
    "leaving": _LEAVING_BLOCK_S,
    "server-draining": _LEAVING_BLOCK_S,
    "server-down": _DOWN_BLOCK_S,
    "other-server": _GONE_BLOCK_S,
    "misdirected": _GONE_BLOCK_S,
}

Result = peer.Result


class _Attempts:
    """What was tried for one request."""

    __slots__ = (
        "arrivals",
        "excluded",
        "known_slow",
        "last_failure",
        "maybe_ran",
        "refusals",
        "retry_after_s",
    )

    def __init__(self) -> None:
        self.arrivals = 0
        self.refusals = 0
        self.maybe_ran = False
        self.excluded: set[str] = set()
        self.known_slow: set[str] = set()
        self.retry_after_s = 0.0
        self.last_failure: frames.Answer | None = None


class Dispatcher:
    """Sends requests to servers, beside this node or beside others.

    Args:
        local: the server beside this node.
        server_address: its address.
        peers: the other nodes.
        services: learned state.
        log: structured log.
        counters: metrics.
    """

    def __init__(
        self,
        *,
        local: local_server.LocalServer,
        server_address: str,
        peers: peers.Peers,
        services: services.Services,
        log: event_log.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        self._local = local
        self._server_address = server_address
        self._peers = peers
        self._services = services
        self._log = log
        self._metrics = counters
        self._call_ids = itertools.count(1)

    async def dispatch(self, ongoing: call.Call) -> frames.Answer:
        """Returns the answer of a server.

        Raises:
            RefusedError: the request did not run and never will.
            UnknownOutcomeError: the request may have run.
        """
        state = self._services.state(ongoing.service)
        state.repeat_budget.observe_request(clock.now())
        tried = _Attempts()
        while True:
            now = clock.now()
            if ongoing.deadline_s - now < _MIN_LEFT_S:
                return self._give_up(tried, "deadline")
            view = state.placement.choose(
                now,
                ongoing.route_name,
                _DEFAULT_WORK_S,
                len(ongoing.body),
                tried.excluded,
                ongoing.aim_s - now,
            )
            if view is None:
                return self._give_up(tried, "no-server" if not tried.excluded else "no-room")
            if tried.arrivals and not self._may_repeat(ongoing, state, tried):
                return self._give_up(tried, "budget")
            result, used = await self._attempt_hedged(ongoing, state, view, tried)
            if isinstance(result, frames.Answer) and not self._is_failure(ongoing, result):
                return result
            self._observe_failed(tried, used, result)
            if isinstance(result, frames.UnknownOutcome) and not ongoing.idempotent:
                raise errors.UnknownOutcomeError(result.reason)
            if tried.refusals >= _MAX_REFUSALS:
                return self._give_up(tried, "no-room")

    @staticmethod
    def _is_failure(ongoing: call.Call, result: frames.Answer) -> bool:
        return ongoing.idempotent and result.status >= 500 and result.status != 504

    @staticmethod
    def _may_repeat(ongoing: call.Call, state: services.ServiceState, tried: _Attempts) -> bool:
        if tried.arrivals >= ongoing.max_attempts:
            return False
        return state.repeat_budget.take(clock.now())

    def _observe_failed(
        self, tried: _Attempts, used: server_view.ServerView, result: Result
    ) -> None:
        """Notes an attempt that gave no answer for the caller."""
        if isinstance(result, frames.Refusal):
            self._observe_refusal(tried, used, result)
            return
        tried.excluded.add(used.server_id)
        tried.arrivals += 1
        tried.maybe_ran = True
        if isinstance(result, frames.Answer):
            tried.last_failure = result

    @staticmethod
    def _observe_refusal(
        tried: _Attempts, used: server_view.ServerView, result: frames.Refusal
    ) -> None:
        if result.reason == _SLOW_REASON:
            tried.known_slow.add(used.server_id)
            return
        tried.excluded.add(used.server_id)
        tried.refusals += 1
        if result.reason in _ARRIVED_REASONS:
            tried.arrivals += 1
        if result.retry_after_s:
            known = tried.retry_after_s
            tried.retry_after_s = (
                min(known, result.retry_after_s) if known else result.retry_after_s
            )
        block_s = _BLOCK_S_BY_REASON.get(result.reason)
        if block_s is not None:
            used.blocked_until_s = clock.now() + block_s

    @staticmethod
    def _give_up(tried: _Attempts, reason: str) -> frames.Answer:
        if tried.last_failure is not None:
            return tried.last_failure
        if tried.maybe_ran:
            raise errors.UnknownOutcomeError(reason)
        raise errors.RefusedError(reason, tried.retry_after_s)

    async def _attempt_hedged(
        self,
        ongoing: call.Call,
        state: services.ServiceState,
        view: server_view.ServerView,
        tried: _Attempts,
    ) -> tuple[Result, server_view.ServerView]:
        """Makes an attempt, and a second one beside it if the first is slow."""
        if not ongoing.idempotent or tried.arrivals + 1 >= ongoing.max_attempts:
            return await self._attempt(ongoing, state, view, tried), view
        loop = asyncio.get_running_loop()
        view_by_task = {loop.create_task(self._attempt(ongoing, state, view, tried)): view}
        delay_s = self._hedge_delay_s(ongoing, state, view)
        try:
            done, _ = await asyncio.wait(view_by_task, timeout=delay_s)
            if not done:
                second = self._second_server(ongoing, state, view, tried)
                if second is not None:
                    self._metrics.count("hedges_total", ongoing.service)
                    view_by_task[
                        loop.create_task(self._attempt(ongoing, state, second, tried))
                    ] = second
            return await self._first_good(ongoing, view_by_task, tried)
        finally:
            for task in view_by_task:
                if not task.done():
                    task.cancel()

    async def _first_good(
        self,
        ongoing: call.Call,
        view_by_task: dict[asyncio.Task[Result], server_view.ServerView],
        tried: _Attempts,
    ) -> tuple[Result, server_view.ServerView]:
        pending = set(view_by_task)
        while True:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                result, used = task.result(), view_by_task[task]
                good = isinstance(result, frames.Answer) and not self._is_failure(ongoing, result)
                del view_by_task[task]
                if good or not view_by_task:
                    return result, used
                self._observe_failed(tried, used, result)

    @staticmethod
    def _hedge_delay_s(
        ongoing: call.Call, state: services.ServiceState, view: server_view.ServerView
    ) -> float:
        work_s = state.placement.mean_service_time_s(ongoing.route_name, _DEFAULT_WORK_S)
        return max(view.round_trip_s + work_s * _HEDGE_FACTOR, _HEDGE_FLOOR_S)

    @staticmethod
    def _second_server(
        ongoing: call.Call,
        state: services.ServiceState,
        first: server_view.ServerView,
        tried: _Attempts,
    ) -> server_view.ServerView | None:
        now = clock.now()
        second = state.placement.choose(
            now,
            ongoing.route_name,
            _DEFAULT_WORK_S,
            len(ongoing.body),
            {first.server_id, *tried.excluded},
            ongoing.aim_s - now,
        )
        if second is None or not second.has_free_slot():
            return None
        work_s = state.placement.mean_service_time_s(ongoing.route_name, _DEFAULT_WORK_S)
        if now + work_s > ongoing.deadline_s or not state.repeat_budget.take(now):
            return None
        return second

    async def _attempt(
        self,
        ongoing: call.Call,
        state: services.ServiceState,
        view: server_view.ServerView,
        tried: _Attempts,
    ) -> Result:
        view.observe_sent()
        started_s = clock.now()
        result: Result | None = None
        try:
            result = await self._send(ongoing, view, tried, started_s)
        finally:
            view.observe_ended()
            ended_s = clock.now()
            if result is not None:
                self._learn(ongoing, state, view, result, ended_s)
                self._log_attempt(ongoing, view, result, ended_s - started_s)
        return result

    async def _send(
        self,
        ongoing: call.Call,
        view: server_view.ServerView,
        tried: _Attempts,
        now: float,
    ) -> Result:
        entry = self._services.entry_by_server_id.get(view.server_id)
        frame = frames.Request(
            call_id=next(self._call_ids),
            server_id=view.server_id,
            method=ongoing.method,
            target=ongoing.target,
            fields=ongoing.fields,
            body=ongoing.body,
            remaining_s=ongoing.deadline_s - now,
            soft_remaining_s=ongoing.aim_s - now,
            idempotent=ongoing.idempotent,
            priority=ongoing.priority,
            request_class=ongoing.route_name,
            expects_slowdown=(
                view.is_slow(now)
                or view.server_id in tried.known_slow
                or len(tried.known_slow) >= _MAX_SLOW_REFUSALS
            ),
            offer_accepted=False,
        )
        if entry is None:
            return self._local.refusal(frame.call_id, "no-server")
        if entry.address == self._server_address:
            found: Result = await self._local.run(frame)
            return found
        return await self._send_to_peer(ongoing, self._peers.get(entry.ip), frame)

    async def _send_to_peer(
        self, ongoing: call.Call, target: peer.Peer, frame: frames.Request
    ) -> Result:
        quiet = not ongoing.idempotent and target.since_received_s() > _OFFER_QUIET_S
        if quiet or len(ongoing.body) >= _OFFER_BODY_BYTES:
            refusal = await self._offer(ongoing, target, frame)
            if refusal is not None:
                return refusal
            left_s = ongoing.deadline_s - clock.now()
            frame = msgspec.structs.replace(frame, remaining_s=left_s, offer_accepted=True)
        try:
            return await target.call(frame, ongoing.deadline_s - clock.now())
        except errors.RefusedError as error:
            return self._local.refusal(frame.call_id, error.reason)
        except errors.UnknownOutcomeError as error:
            return frames.UnknownOutcome(frame.call_id, error.reason, self._local.report())

    async def _offer(
        self, ongoing: call.Call, target: peer.Peer, frame: frames.Request
    ) -> frames.Refusal | None:
        """Asks a node whether it takes a request; returns its refusal or None."""
        self._metrics.count("offers_total", ongoing.service)
        offer = frames.Offer(
            call_id=next(self._call_ids),
            server_id=frame.server_id,
            remaining_s=frame.remaining_s,
            soft_remaining_s=frame.soft_remaining_s,
            idempotent=frame.idempotent,
            priority=frame.priority,
            request_class=frame.request_class,
            expects_slowdown=frame.expects_slowdown,
        )
        try:
            result = await target.offer(offer, min(_OFFER_TIMEOUT_S, frame.remaining_s))
        except errors.RefusedError as error:
            return self._local.refusal(frame.call_id, error.reason)
        except errors.UnknownOutcomeError:
            # Only the offer was sent, so the request has not run whatever became of it.
            return self._local.refusal(frame.call_id, _OFFER_SILENT_REASON)
        return result if isinstance(result, frames.Refusal) else None

    def _learn(
        self,
        ongoing: call.Call,
        state: services.ServiceState,
        view: server_view.ServerView,
        result: Result,
        now: float,
    ) -> None:
        if result.load.server_id == view.server_id:
            self._services.observe_load(result.load)
        if isinstance(result, frames.Answer):
            view.observe_result(now=now, failed=result.status >= 500)
            if result.status < 300:
                state.placement.observe_answer(
                    ongoing.route_name, result.service_time_s, len(result.body)
                )
        elif isinstance(result, frames.UnknownOutcome) or result.reason in _ARRIVED_REASONS:
            view.observe_result(now=now, failed=True)

    def _log_attempt(
        self, ongoing: call.Call, view: server_view.ServerView, result: Result, took_s: float
    ) -> None:
        values: dict[str, Any] = {
            "id": ongoing.request_id,
            "server": view.server_id,
            "ms": round(took_s * 1000, 1),
        }
        if result.load.server_id == view.server_id:
            values["load"] = [
                result.load.running,
                result.load.waiting,
                result.load.concurrency_limit,
            ]
            values["slowness"] = result.load.slowness
            values["slowness_age_s"] = round(result.load.slowness_age_s, 3)
        if isinstance(result, frames.Answer):
            values["status"] = result.status
            values["work_ms"] = round(result.service_time_s * 1000, 1)
        else:
            values["refused" if isinstance(result, frames.Refusal) else "unknown"] = result.reason
        self._log.write("attempt", **values)
