"""Chooses a backend server for a call and resends the call where that is allowed."""

import asyncio
import functools
from collections.abc import Callable

from laburnumford_node import (
    adjacent,
    call,
    errors,
    exchange,
    header_names,
    metrics,
    peer_client,
    race,
    reason,
    service_state,
    view,
)
from laburnumford_node.http import client_connection, fields
from laburnumford_policy import choice
from laburnumford_policy.retry import call_properties, cause, decision, failure, proof

_NEVER_RESENT_REASONS = frozenset({reason.Reason.DEADLINE})


_ADJACENT_BACKOFF_S = 1.0
"""The adjacent server is preferred while it has free slots. A server that refuses or fails fast
always has some, so for this time after a failure the chooser decides about it as about any other
server."""

PeerResultCallback = Callable[[str, bool, bool, float], None]
"""Gets the name of the backend server, whether its node answered, whether the server is draining,
and the monotonic time in seconds at which the call was sent."""


class Dispatcher:
    """Chooses backend servers for calls and makes the attempts.

    Args:
        server_name: name of the adjacent backend server.
        server: the adjacent backend server, called without a peer.
        peers: client that calls other nodes.
        states: chooser, retry budget and learned state of each service.
        current_view: returns the view in force.
        on_peer_version: called with the version that a peer sent.
        on_peer_result: called with the result of each call to another node.
        counters: metrics of the node.
        clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        server_name: str,
        server: adjacent.AdjacentServer,
        peers: peer_client.PeerClient,
        states: service_state.ServiceStates,
        current_view: Callable[[], view.View],
        on_peer_version: Callable[[bytes], None],
        on_peer_result: PeerResultCallback,
        counters: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._server_name = server_name
        self._server = server
        self._peers = peers
        self._states = states
        self._current_view = current_view
        self._on_peer_version = on_peer_version
        self._on_peer_result = on_peer_result
        self._metrics = counters
        self._adjacent_backoff_until_s = 0.0
        self._clock = clock

    async def dispatch(
        self,
        ongoing_call: call.Call,
        on_informational: client_connection.InformationalCallback | None = None,
    ) -> exchange.Exchange:
        """Sends a call until an attempt is answered; returns the exchange with that answer.

        Raises:
            RefusedError: no attempt ran or will run the request.
            UnknownOutcomeError: an attempt may have run the request.
            CallerError: the body from the caller ended early.
        """
        if ongoing_call.depth == 0:
            return await self._dispatch_with_resends(ongoing_call, on_informational)
        # A nested call comes from the adjacent server, since servers call through their own node.
        nested = self._server.nested_wait
        nested.call_started()
        try:
            return await self._dispatch_with_resends(ongoing_call, on_informational)
        finally:
            nested.call_ended()

    async def _dispatch_with_resends(
        self,
        ongoing_call: call.Call,
        on_informational: client_connection.InformationalCallback | None,
    ) -> exchange.Exchange:
        state = self._states.state(ongoing_call.service)
        state.retry_budget.observe_call(self._clock())
        excluded: frozenset[str] = frozenset()
        resends = ongoing_call.resends
        maybe_ran = False
        while True:
            name = self._choose_server(state, excluded)
            if name is None:
                raise errors.RefusedError(
                    reason.Reason.NO_SERVER, f"no backend server for {ongoing_call.service}"
                )
            hedges: list[str] = []
            try:
                return await self._attempt_hedged(
                    ongoing_call, state, name, resends, on_informational, hedges
                )
            except errors.AttemptError as error:
                maybe_ran = maybe_ran or isinstance(error, errors.UnknownOutcomeError)
                resends += len(hedges)
                excluded |= set(hedges)
                decided = self._decide_resend(ongoing_call, state, error, resends)
                if not decided.resend:
                    raise _error_for_caller(error, maybe_ran) from error
                self._metrics.observe_resend(ongoing_call.service, error.reason.label)
                resends += 1
                excluded |= {name}
                if decided.delay_s > 0:
                    await asyncio.sleep(decided.delay_s)

    def _choose_server(
        self,
        state: service_state.ServiceState,
        excluded: frozenset[str],
    ) -> str | None:
        adjacent_name = self._server_name
        now = self._clock()
        preferred = now >= self._adjacent_backoff_until_s and self._server.has_free_slot()
        if preferred and state.serves(adjacent_name) and adjacent_name not in excluded:
            return adjacent_name
        name = state.chooser.choose(now, excluded)
        # After every server has been tried once, trying one again is better than giving up.
        return name if name is not None or not excluded else state.chooser.choose(now)

    def _decide_resend(
        self,
        ongoing_call: call.Call,
        state: service_state.ServiceState,
        error: errors.AttemptError,
        resends: int,
    ) -> decision.Decision:
        if not ongoing_call.payload.repeatable or error.reason in _NEVER_RESENT_REASONS:
            return decision.Decision(resend=False, delay_s=0.0, reason=error.reason.label)
        if isinstance(error, errors.NotWrittenError):
            found = proof.Proof.NOT_WRITTEN
        elif isinstance(error, errors.RefusedError):
            found = proof.Proof.REFUSED
        else:
            found = proof.Proof.UNKNOWN
        return state.retry_policy.check(
            failure.Failure(proof=found, reason=error.reason.label),
            _call_properties(ongoing_call, resends),
            self._clock(),
            cause=cause.Cause.RETRY if found is proof.Proof.UNKNOWN else cause.Cause.REDIRECT,
        )

    async def _attempt_hedged(
        self,
        ongoing_call: call.Call,
        state: service_state.ServiceState,
        name: str,
        resends: int,
        on_informational: client_connection.InformationalCallback | None,
        hedges: list[str],
    ) -> exchange.Exchange:
        """Makes an attempt, and a hedged one if the first is slow and the policy allows it.

        Appends the server of the hedged attempt to `hedges`.
        """
        delay_s = state.latencies.p95_s
        attempt = functools.partial(self._attempt, ongoing_call, state)
        if not _hedgeable(ongoing_call) or delay_s <= 0.0:
            return await attempt(name, resends, on_informational)
        loop = asyncio.get_running_loop()

        def start_second() -> race.Attempt | None:
            now = self._clock()
            other = state.chooser.choose(now, frozenset({name}))
            if other is None:
                return None
            decided = state.hedge_policy.check(
                _call_properties(ongoing_call, resends),
                delay_s,
                delay_s,
                state.has_free_slot(other),
                now,
            )
            if not decided.resend:
                return None
            hedges.append(other)
            self._metrics.observe_resend(ongoing_call.service, cause.Cause.HEDGE.value)
            # Only the first attempt forwards informational answers: those of two servers would mix.
            return loop.create_task(attempt(other, resends + 1, None))

        return await race.race(attempt(name, resends, on_informational), delay_s, start_second)

    async def _attempt(
        self,
        ongoing_call: call.Call,
        state: service_state.ServiceState,
        name: str,
        resends: int,
        on_informational: client_connection.InformationalCallback | None,
    ) -> exchange.Exchange:
        started_s = self._clock()
        chooser = state.chooser
        chooser.observe_sent(name, started_s)
        observe_result = functools.partial(self._observe_result, chooser, name, started_s)
        try:
            if name == self._server_name:
                ongoing = await self._run_on_adjacent(ongoing_call, resends, on_informational)
            else:
                ongoing = await self._call_peer(ongoing_call, name, resends, on_informational)
        except errors.RefusedError as error:
            self._back_off_from_adjacent(name)
            observe_result(error.report, choice.Result.REFUSED)
            if error.report is not None:
                state.observe_load(name, error.report)
            self._report_peer_result(name, True, error.reason is reason.Reason.DRAINING, started_s)
            raise
        except errors.AttemptError as error:
            self._back_off_from_adjacent(name)
            observe_result(None, choice.Result.FAILED)
            self._report_peer_result(
                name, not isinstance(error, errors.NotWrittenError), False, started_s
            )
            raise
        except BaseException:
            observe_result(None, choice.Result.CANCELLED)
            raise
        version = fields.get(ongoing.answer.fields, header_names.VERSION)
        if version is not None:
            self._on_peer_version(version)
        report = (
            self._server.report()
            if name == self._server_name
            else peer_client.load_report(ongoing.answer.fields)
        )
        observe_result(report, choice.Result.ANSWERED)
        state.latencies.observe(self._clock() - started_s)
        if report is not None:
            state.observe_load(name, report)
        self._report_peer_result(name, True, False, started_s)
        return ongoing

    def _back_off_from_adjacent(self, name: str) -> None:
        """Suspends the preference for the adjacent server after an attempt on it failed."""
        if name == self._server_name:
            self._adjacent_backoff_until_s = self._clock() + _ADJACENT_BACKOFF_S

    def _report_peer_result(
        self, name: str, answered: bool, draining: bool, started_s: float
    ) -> None:
        if name != self._server_name:
            self._on_peer_result(name, answered, draining, started_s)

    def _observe_result(
        self,
        chooser: choice.Chooser,
        name: str,
        started_s: float,
        report: choice.LoadReport | None,
        result: choice.Result,
    ) -> None:
        now = self._clock()
        chooser.observe_answer(
            name, now=now, latency_s=now - started_s, report=report, result=result
        )

    async def _run_on_adjacent(
        self,
        ongoing_call: call.Call,
        resends: int,
        on_informational: client_connection.InformationalCallback | None,
    ) -> exchange.Exchange:
        return await self._server.run(
            method=ongoing_call.received.method,
            target=ongoing_call.received.target,
            head=[
                *self._common_head(ongoing_call, resends),
                (header_names.TIMEOUT_MS, b"%d" % self._remaining_ms(ongoing_call)),
            ],
            payload=ongoing_call.payload,
            priority=ongoing_call.policy.priority,
            deadline_s=ongoing_call.deadline_s,
            on_informational=on_informational,
        )

    async def _call_peer(
        self,
        ongoing_call: call.Call,
        name: str,
        resends: int,
        on_informational: client_connection.InformationalCallback | None,
    ) -> exchange.Exchange:
        current_view = self._current_view()
        server = current_view.servers_by_name.get(name)
        if server is None:
            raise errors.NotWrittenError(
                reason.Reason.NO_SERVER,
                f"backend server {name} is not published any more",
            )
        head = [
            *self._common_head(ongoing_call, resends),
            (header_names.SERVICE, ongoing_call.service.encode()),
            (header_names.PRIORITY, ongoing_call.policy.priority.encode()),
            (header_names.VERSION, b"%d" % current_view.version),
        ]
        return await self._peers.call(
            address=server.peer_address,
            node=name,
            method=ongoing_call.received.method,
            target=ongoing_call.received.target,
            head=head,
            payload=ongoing_call.payload,
            deadline_s=ongoing_call.deadline_s,
            on_end=_ignore_end,
            on_informational=on_informational,
        )

    def _common_head(self, ongoing_call: call.Call, resends: int) -> list[fields.Field]:
        return [
            *ongoing_call.head,
            (header_names.ATTEMPTS, b"%d" % resends),
            (header_names.DEPTH, b"%d" % (ongoing_call.depth + 1)),
            (header_names.TRACEPARENT, ongoing_call.span.traceparent()),
        ]

    def _remaining_ms(self, ongoing_call: call.Call) -> int:
        return max(int((ongoing_call.deadline_s - self._clock()) * 1000), 1)


def _call_properties(ongoing_call: call.Call, resends: int) -> call_properties.CallProperties:
    return call_properties.CallProperties(
        idempotent=ongoing_call.idempotent,
        deadline=ongoing_call.deadline_s,
        resends=resends,
        depth=ongoing_call.depth,
    )


def _hedgeable(ongoing_call: call.Call) -> bool:
    """Returns whether the call may run twice and its body can be sent by two attempts at once."""
    return (
        ongoing_call.policy.hedge
        and ongoing_call.idempotent
        and ongoing_call.payload.stream is None
        and fields.get(ongoing_call.received.fields, header_names.IDEMPOTENCY_KEY) is None
    )


def _ignore_end(whole: bool) -> None:
    """Ignores the end of an exchange."""


def _error_for_caller(error: errors.AttemptError, maybe_ran: bool) -> errors.AttemptError:
    """Returns the error to report to the caller.

    A refusal after an attempt with unknown outcome is reported as unknown, because that attempt
    may have run.
    """
    if isinstance(error, errors.UnknownOutcomeError):
        return error
    if maybe_ran:
        return errors.UnknownOutcomeError(error.reason, error.detail)
    if isinstance(error, errors.RefusedError):
        return error
    return errors.RefusedError(error.reason, error.detail)
