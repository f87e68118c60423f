"""Selection of a backend server for each request, with retries and hedging."""

import asyncio
import itertools
import math
from typing import Any

import msgspec

from laburnumford_mesh import (
    answer_outcome,
    call,
    clock,
    decision_figures,
    errors,
    event_log,
    frames,
    local_server,
    metrics,
    peer,
    peers,
    server_notice,
    services,
    share_holds,
    wire_names,
)
from laburnumford_policy.placement import server_view

_MAX_REFUSALS_PER_REQUEST = 5
"""Number of nodes that refuse a request after which the service counts as full."""

_MIN_REMAINING_S = 0.01
"""Time left until the deadline below which no further attempt starts."""

_UNREACHABLE_BLOCK_S = 0.5
"""Time for which the servers of an unreachable node get no requests. A lost SYN packet is
retransmitted within 1 s."""

_SHUTDOWN_BLOCK_S = 1.0
"""A node that stops is unavailable for longer; its go-away message extends the block."""

_DOWN_BLOCK_S = 0.3
"""Same as the time for which the node of the server treats it as down after a connect error."""

_REPLACED_BLOCK_S = 5.0
"""Another server uses the address; the entry of the previous one expires within seconds."""

_HEDGE_DELAY_FACTOR = 2.0
"""Multiple of the expected service time after which a second server gets the request."""

_MIN_HEDGE_DELAY_S = 0.03
"""Ten round trips between zones; a shorter delay does not indicate a slow server."""

_MIN_OFFER_BODY_BYTES = 16_000
"""Body size from which the request is offered first, so that the body is sent only to a server
that accepts it. This size takes 25 ms on a link of 5 Mbit/s, ten round trips between zones."""

_OFFER_AFTER_SILENCE_S = 0.1
"""Time without a message from a node after which non-idempotent requests are offered first. If
the network is partitioned, a request that is sent at once has an unknown outcome."""

_OFFER_TIMEOUT_S = 0.25
"""A node that takes longer to answer a message of 100 bytes is partitioned off, or behind a
congested link that the body would congest further."""

_OFFER_TIMEOUT_REASON = "peer-silent"

_SERVER_REFUSAL_REASONS = frozenset({"server-refused", "misdirected"})
"""Refusals by the server itself; they count as attempts that reached a server."""

_SLOW_REASON = "slow"
"""The server is in a slowdown that this node did not know of; it may still be the best choice."""

_MAX_SLOW_REFUSALS = 4
"""After this many the whole service counts as slow, and the next server accepts the request
despite its slowdown. Each refusal costs a round trip of up to 3 ms; a slowdown lasts about
100 ms."""

_EVACUATED_REASON = "zone-evacuated"
"""The zone of the server is evacuated, which this node has not learned of yet."""

_EVACUATION_RETRY_AFTER_S = 1.0
"""Seconds after which callers may ask again for a service whose servers are all in evacuated zones.
All nodes learn of the end of an evacuation within about this time."""

_CANCELLED_REASON = "cancelled"
"""Attempt that ended because another one answered, the deadline passed or the caller left."""

_BLOCK_S_BY_REASON = {
    "peer-unreachable": _UNREACHABLE_BLOCK_S,
    _OFFER_TIMEOUT_REASON: _DOWN_BLOCK_S,
    "leaving": _SHUTDOWN_BLOCK_S,
    "server-draining": _SHUTDOWN_BLOCK_S,
    "server-down": _DOWN_BLOCK_S,
    "other-server": _REPLACED_BLOCK_S,
    "misdirected": _REPLACED_BLOCK_S,
    _EVACUATED_REASON: _UNREACHABLE_BLOCK_S,
}

Result = peer.Result


class _AttemptHistory:
    """Records the attempts made for one request.

    Attributes:
        server_attempts: number of attempts that may have reached a server.
        excluded_server_ids: servers that get no further attempt.
        slow_server_ids: servers that refused because of a slowdown; they may be chosen again.
        last_failed_answer: latest answer that counts as a failure.
        may_have_run: whether an attempt may have run.
        refusals: number of refusals, those because of a slowdown not counted.
        retry_after_s: shortest time after which a server expects free slots, 0 if unknown.
    """

    __slots__ = (
        "excluded_server_ids",
        "last_failed_answer",
        "may_have_run",
        "refusals",
        "retry_after_s",
        "server_attempts",
        "slow_server_ids",
    )

    def __init__(self) -> None:
        self.server_attempts = 0
        self.refusals = 0
        self.may_have_run = False
        self.excluded_server_ids: set[str] = set()
        self.slow_server_ids: set[str] = set()
        self.retry_after_s = 0.0
        self.last_failed_answer: frames.Answer | None = None


class Dispatcher:
    """Sends requests to the server of this node or, through peers, to those of other nodes.

    Args:
        local: backend server on the same VM.
        server_address: ``ip:port`` of that server.
        peers: the other nodes.
        services: learned state of the services.
        names: header field names.
        log: structured log.
        counters: metrics.
        own_ip: IP address of this VM, by which other nodes tell callers apart.
    """

    def __init__(
        self,
        *,
        local: local_server.LocalServer,
        server_address: str,
        peers: peers.Peers,
        services: services.Services,
        names: wire_names.WireNames,
        log: event_log.EventLog,
        counters: metrics.Metrics,
        own_ip: str = "",
    ) -> None:
        self._local = local
        self._server_address = server_address
        self._peers = peers
        self._services = services
        self._names = names
        self._log = log
        self._metrics = counters
        self._own_ip = own_ip
        self._share_holds = share_holds.ShareHolds()
        self._call_ids = itertools.count(1)

    async def dispatch(self, ongoing: call.Call) -> frames.Answer:
        """Sends a request to servers until one answers, and returns the answer.

        Raises:
            RefusedError: the request did not run and will not run.
            UnknownOutcomeError: the request may have run.
        """
        state = self._services.state(ongoing.service)
        state.retry_budget.observe_request(clock.now())
        history = _AttemptHistory()
        history.excluded_server_ids, history.retry_after_s = self._share_holds.held_server_ids(
            ongoing.route_name, ongoing.connection, state.placement.views_by_id, clock.now()
        )
        while True:
            now = clock.now()
            if ongoing.deadline_s - now < _MIN_REMAINING_S:
                return self._give_up(history, "deadline")
            view = state.placement.choose(
                now,
                ongoing.route_name,
                ongoing.default_service_time_s,
                len(ongoing.body),
                history.excluded_server_ids,
                ongoing.soft_deadline_s - now,
            )
            if view is None:
                return self._give_up_without_server(ongoing, history)
            service_time_s = _service_time_s(ongoing, state) * view.baseline(now)
            if now + service_time_s > ongoing.deadline_s:
                # The node of every server would refuse it.
                return self._give_up(history, "deadline")
            if history.server_attempts and not self._may_retry(ongoing, state, history):
                return self._give_up(history, "budget")
            result, used_view = await self._attempt_hedged(ongoing, state, view, history)
            if isinstance(result, frames.Answer) and not self._is_failure(ongoing, result):
                return result
            self._observe_failed_attempt(history, used_view, result)
            if isinstance(result, frames.UnknownOutcome) and not ongoing.idempotent:
                raise errors.UnknownOutcomeError(result.reason)
            if history.refusals >= _MAX_REFUSALS_PER_REQUEST:
                return self._give_up(history, "no-room")

    def observed_service_time_s(self, ongoing: call.Call) -> float:
        """Returns the mean service time of such requests in seconds, infinity without any answer."""
        placement = self._services.state(ongoing.service).placement
        return placement.mean_service_time_s(ongoing.route_name, math.inf)

    def figures(self, ongoing: call.Call) -> dict[str, Any]:
        """Returns what is known about the servers for a request that gets no answer of one."""
        return decision_figures.of_end(clock.now(), ongoing, self._services.state(ongoing.service))

    @staticmethod
    def _is_failure(ongoing: call.Call, result: frames.Answer) -> bool:
        return ongoing.idempotent and result.status >= 500 and result.status != 504

    @staticmethod
    def _may_retry(
        ongoing: call.Call, state: services.ServiceState, history: _AttemptHistory
    ) -> bool:
        if history.server_attempts >= ongoing.max_attempts:
            return False
        return state.retry_budget.take(clock.now())

    def _observe_failed_attempt(
        self, history: _AttemptHistory, used_view: server_view.ServerView, result: Result
    ) -> None:
        """Records an attempt that gave no answer for the caller."""
        if isinstance(result, frames.Refusal):
            self._observe_refusal(history, used_view, result)
            return
        history.excluded_server_ids.add(used_view.server_id)
        history.server_attempts += 1
        history.may_have_run = True
        if isinstance(result, frames.Answer):
            history.last_failed_answer = result

    def _observe_refusal(
        self, history: _AttemptHistory, used_view: server_view.ServerView, result: frames.Refusal
    ) -> None:
        if result.reason == _SLOW_REASON:
            history.slow_server_ids.add(used_view.server_id)
            return
        history.excluded_server_ids.add(used_view.server_id)
        history.refusals += 1
        if result.reason == _EVACUATED_REASON:
            # The nodes of the other servers there would refuse the request as well.
            history.excluded_server_ids.update(
                self._services.servers_in_zone_of(used_view.server_id)
            )
        if result.reason in _SERVER_REFUSAL_REASONS:
            history.server_attempts += 1
        if result.retry_after_s:
            known = history.retry_after_s
            history.retry_after_s = (
                min(known, result.retry_after_s) if known else result.retry_after_s
            )
        block_s = _BLOCK_S_BY_REASON.get(result.reason)
        if block_s is not None:
            used_view.blocked_until_s = clock.now() + block_s

    def _give_up_without_server(
        self, ongoing: call.Call, history: _AttemptHistory
    ) -> frames.Answer:
        """Gives up a request for which no server is left to be chosen."""
        if history.excluded_server_ids:
            return self._give_up(history, "no-room")
        if self._services.is_evacuated(ongoing.service):
            history.retry_after_s = _EVACUATION_RETRY_AFTER_S
            return self._give_up(history, _EVACUATED_REASON)
        return self._give_up(history, "no-server")

    @staticmethod
    def _give_up(history: _AttemptHistory, reason: str) -> frames.Answer:
        if history.last_failed_answer is not None:
            return history.last_failed_answer
        if history.may_have_run:
            raise errors.UnknownOutcomeError(reason)
        raise errors.RefusedError(reason, history.retry_after_s)

    async def _attempt_hedged(
        self,
        ongoing: call.Call,
        state: services.ServiceState,
        view: server_view.ServerView,
        history: _AttemptHistory,
    ) -> tuple[Result, server_view.ServerView]:
        """Makes an attempt, and a hedged second one if the first exceeds its expected time."""
        if not ongoing.idempotent or history.server_attempts + 1 >= ongoing.max_attempts:
            return await self._attempt(ongoing, state, view, history), view
        loop = asyncio.get_running_loop()
        view_by_task = {loop.create_task(self._attempt(ongoing, state, view, history)): view}
        delay_s = self._hedge_delay_s(ongoing, state, view)
        try:
            done, _ = await asyncio.wait(view_by_task, timeout=delay_s)
            if not done:
                hedge_view = self._choose_hedge_server(ongoing, state, view, history)
                if hedge_view is not None:
                    self._metrics.count("hedges_total", ongoing.service)
                    view_by_task[
                        loop.create_task(
                            self._attempt(ongoing, state, hedge_view, history, hedge=True)
                        )
                    ] = hedge_view
            return await self._first_success(ongoing, view_by_task, history)
        finally:
            for task in view_by_task:
                if not task.done():
                    task.cancel()

    async def _first_success(
        self,
        ongoing: call.Call,
        view_by_task: dict[asyncio.Task[Result], server_view.ServerView],
        history: _AttemptHistory,
    ) -> tuple[Result, server_view.ServerView]:
        pending = set(view_by_task)
        while True:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                result, used_view = task.result(), view_by_task[task]
                successful = isinstance(result, frames.Answer) and not self._is_failure(
                    ongoing, result
                )
                del view_by_task[task]
                if successful or not view_by_task:
                    return result, used_view
                self._observe_failed_attempt(history, used_view, result)

    @staticmethod
    def _hedge_delay_s(
        ongoing: call.Call, state: services.ServiceState, view: server_view.ServerView
    ) -> float:
        service_time_s = _service_time_s(ongoing, state) * view.baseline(clock.now())
        return max(view.round_trip_s + service_time_s * _HEDGE_DELAY_FACTOR, _MIN_HEDGE_DELAY_S)

    @staticmethod
    def _choose_hedge_server(
        ongoing: call.Call,
        state: services.ServiceState,
        first_view: server_view.ServerView,
        history: _AttemptHistory,
    ) -> server_view.ServerView | None:
        now = clock.now()
        hedge_view = state.placement.choose(
            now,
            ongoing.route_name,
            ongoing.default_service_time_s,
            len(ongoing.body),
            {first_view.server_id, *history.excluded_server_ids},
            ongoing.soft_deadline_s - now,
        )
        if hedge_view is None or not hedge_view.has_free_slot(now):
            return None
        service_time_s = _service_time_s(ongoing, state)
        if now + service_time_s > ongoing.deadline_s or not state.retry_budget.take(now):
            return None
        return hedge_view

    async def _attempt(
        self,
        ongoing: call.Call,
        state: services.ServiceState,
        view: server_view.ServerView,
        history: _AttemptHistory,
        *,
        hedge: bool = False,
    ) -> Result:
        started_s = clock.now()
        figures = decision_figures.of_choice(
            started_s,
            ongoing,
            state,
            view,
            history.excluded_server_ids,
            self._services.entry_by_server_id.get(view.server_id),
            hedge=hedge,
        )
        state.placement.observe_sent(started_s, view, ongoing.route_name, len(ongoing.body))
        if view.other_zone:
            self._metrics.count("requests_out_of_zone_total", ongoing.service)
        result: Result | None = None
        try:
            result = await self._send(ongoing, state, view, history, started_s)
        except asyncio.CancelledError:
            self._log.write(
                "attempt",
                id=ongoing.request_id,
                server=view.server_id,
                ms=round((clock.now() - started_s) * 1000, 1),
                unknown=_CANCELLED_REASON,
                **figures,
            )
            raise
        finally:
            view.observe_ended()
            ended_s = clock.now()
            if result is not None:
                self._observe_result(ongoing, state, view, result, ended_s)
                self._log_attempt(ongoing, view, result, ended_s - started_s, figures)
        return self._without_unproved_answer(result)

    def _without_unproved_answer(self, result: Result) -> Result:
        """Returns an unknown outcome in place of an answer that claims more than it proves."""
        if isinstance(result, frames.Answer) and self._is_unproved(result):
            reason = answer_outcome.Outcome.UNPROVED.value
            return frames.UnknownOutcome(result.call_id, reason, result.load)
        return result

    def _is_unproved(self, result: frames.Answer) -> bool:
        outcome = answer_outcome.classify(result.status, result.fields, self._names)
        return outcome is answer_outcome.Outcome.UNPROVED

    async def _send(
        self,
        ongoing: call.Call,
        state: services.ServiceState,
        view: server_view.ServerView,
        history: _AttemptHistory,
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
            soft_remaining_s=ongoing.soft_deadline_s - now,
            idempotent=ongoing.idempotent,
            priority=ongoing.priority,
            request_class=ongoing.route_name,
            expects_slowdown=(
                view.is_slow(now)
                or view.server_id in history.slow_server_ids
                or len(history.slow_server_ids) >= _MAX_SLOW_REFUSALS
            ),
            offer_accepted=False,
            service_time_s=_service_time_s(ongoing, state),
            rate_limit_per_s=view.rate_limit_per_s,
            caller_vm=self._own_ip,
            caller_connection=ongoing.connection,
        )
        if entry is None:
            return self._local.refusal(frame.call_id, "no-server")
        if entry.address == self._server_address:
            result: Result = await self._local.run(frame)
            return result
        return await self._send_to_peer(ongoing, self._peers.get(entry.ip), frame)

    async def _send_to_peer(
        self, ongoing: call.Call, target: peer.Peer, frame: frames.Request
    ) -> Result:
        silent = not ongoing.idempotent and target.since_received_s() > _OFFER_AFTER_SILENCE_S
        if silent or len(ongoing.body) >= _MIN_OFFER_BODY_BYTES:
            refusal = await self._offer(ongoing, target, frame)
            if refusal is not None:
                return refusal
            remaining_s = ongoing.deadline_s - clock.now()
            frame = msgspec.structs.replace(frame, remaining_s=remaining_s, offer_accepted=True)
        try:
            return await target.call(frame, ongoing.deadline_s - clock.now())
        except errors.RefusedError as error:
            return self._local.refusal(frame.call_id, error.reason)
        except errors.UnknownOutcomeError as error:
            return frames.UnknownOutcome(frame.call_id, error.reason, self._local.report())

    async def _offer(
        self, ongoing: call.Call, target: peer.Peer, frame: frames.Request
    ) -> frames.Refusal | None:
        """Offers a request to a node; returns the refusal, or None if the node accepts."""
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
            service_time_s=frame.service_time_s,
            body_bytes=len(ongoing.body),
            caller_vm=frame.caller_vm,
            caller_connection=frame.caller_connection,
        )
        try:
            result = await target.offer(offer, min(_OFFER_TIMEOUT_S, frame.remaining_s))
        except errors.RefusedError as error:
            return self._local.refusal(frame.call_id, error.reason)
        except errors.UnknownOutcomeError:
            # Only the offer was sent, so the request cannot have run.
            return self._local.refusal(frame.call_id, _OFFER_TIMEOUT_REASON)
        return result if isinstance(result, frames.Refusal) else None

    def _observe_result(
        self,
        ongoing: call.Call,
        state: services.ServiceState,
        view: server_view.ServerView,
        result: Result,
        now: float,
    ) -> None:
        if result.load.server_id == view.server_id:
            self._services.observe_load(result.load)
            if isinstance(result, frames.Refusal):
                self._share_holds.observe(ongoing.route_name, ongoing.connection, result, now)
        if isinstance(result, frames.Answer):
            if server_notice.parse(result.fields, self._names).leaving:
                self._services.exclude_leaving(view)
            failed = result.status >= 500 or self._is_unproved(result)
            view.observe_result(now=now, failed=failed)
            if result.status < 300:
                state.placement.observe_answer(
                    ongoing.route_name,
                    result.service_time_s / max(result.slowness, 1.0),
                    len(result.body),
                )
        elif isinstance(result, frames.UnknownOutcome) or result.reason in _SERVER_REFUSAL_REASONS:
            view.observe_result(now=now, failed=True)

    def _log_attempt(
        self,
        ongoing: call.Call,
        view: server_view.ServerView,
        result: Result,
        latency_s: float,
        figures: dict[str, Any],
    ) -> None:
        values: dict[str, Any] = {
            "id": ongoing.request_id,
            "server": view.server_id,
            "ms": round(latency_s * 1000, 1),
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
            if self._is_unproved(result):
                values["unknown"] = answer_outcome.Outcome.UNPROVED.value
        else:
            values["refused" if isinstance(result, frames.Refusal) else "unknown"] = result.reason
        values |= figures
        if isinstance(result, frames.Refusal) and result.retry_after_s:
            values["retry_after_s"] = round(result.retry_after_s, 3)
        self._log.write("attempt", **values)


def _service_time_s(ongoing: call.Call, state: services.ServiceState) -> float:
    """Returns the expected service time of a request at normal speed in seconds."""
    return state.placement.mean_service_time_s(ongoing.route_name, ongoing.default_service_time_s)
