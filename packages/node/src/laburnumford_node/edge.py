"""The edge listener: requests from outside callers and from the adjacent backend server."""

from collections.abc import Callable

from laburnumford_node import (
    answering,
    call,
    dispatch,
    errors,
    header_names,
    metrics,
    problem,
    reason,
    relay,
    stall_clock,
    ticket_handler,
    tracing,
    view,
)
from laburnumford_node import payload as payloads
from laburnumford_node.http import errors as http_errors
from laburnumford_node.http import fields, request, server_connection
from laburnumford_objects import policy, route

MAX_CALL_DEPTH = 18
"""A request at this depth of nested calls is refused, which ends services that call each other in
a cycle."""

_IDEMPOTENT_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS", b"PUT", b"DELETE", b"TRACE"})
_SAFE_METHODS = frozenset({b"GET", b"HEAD", b"OPTIONS", b"TRACE"})
_MAX_INTEGER_FIELD_DIGITS = 9
_TICKET_PREFIX = b"lf1."


class EdgeListener:
    """Routes the requests of callers, has them answered and relays the answers.

    Args:
        dispatcher: has calls answered by backend servers.
        tickets: issues tickets and answers requests that carry one.
        current_view: returns the view in force, or None before the first one.
        tracer: starts spans.
        counters: metrics of the node.
        stalls: dates the requests that waited while the process was paused.
        clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        dispatcher: dispatch.Dispatcher,
        tickets: ticket_handler.TicketHandler,
        current_view: Callable[[], view.View | None],
        tracer: tracing.Tracer,
        counters: metrics.Metrics,
        stalls: stall_clock.StallClock,
        clock: Callable[[], float],
    ) -> None:
        self._dispatcher = dispatcher
        self._tickets = tickets
        self._current_view = current_view
        self._tracer = tracer
        self._metrics = counters
        self._stalls = stalls
        self._clock = clock
        self.draining = False

    async def handle(
        self, received: request.Request, connection: server_connection.ServerConnection
    ) -> None:
        """Answers one request of a caller."""
        if received.path == ticket_handler.ISSUE_PATH:
            self._tickets.issue(received, connection)
            return
        await self._route_and_answer(received, connection, None)

    async def handle_as_owner(
        self,
        received: request.Request,
        connection: server_connection.ServerConnection,
        deadline_s: float,
    ) -> None:
        """Answers a request that another node forwarded because this node issued its ticket.

        Args:
            received: request from the other node.
            connection: connection that the request came on.
            deadline_s: monotonic time in seconds by which the other node needs the answer.
        """
        await self._route_and_answer(received, connection, deadline_s)

    async def _route_and_answer(
        self,
        received: request.Request,
        connection: server_connection.ServerConnection,
        deadline_s: float | None,
    ) -> None:
        started_s = self._stalls.received_at()
        span = self._tracer.start("edge", received.value_by_name.get(header_names.TRACEPARENT))
        service, priority, result = "", "", "cancelled"
        try:
            matched, resolved = self._route(received)
            service, priority = matched.service, resolved.priority
            span.set_attribute("laburnumford.service", service)
            ongoing_call = await self._build_call(
                received, matched, resolved, span, started_s, deadline_s
            )
            await self._answer(ongoing_call, connection)
            result = "answered"
        except errors.AttemptError as error:
            refused = isinstance(error, errors.RefusedError)
            result = "refused" if refused else "unknown"
            span.set_attribute("laburnumford.reason", error.reason.label)
            extra = [error.ticket] if isinstance(error, errors.TicketRequiredError) else []
            answering.write_problem(received, connection, error, close=self.draining, extra=extra)
        except errors.CallerError:
            connection.abort()
        except http_errors.BadMessageError as error:
            result = "refused"
            self._answer_invalid_body(connection, error)
        except http_errors.HttpError:
            connection.abort()
        finally:
            span.set_attribute("laburnumford.result", result)
            span.end()
            self._metrics.observe_answer(service, priority, result, self._clock() - started_s)

    def _route(self, received: request.Request) -> tuple[route.Route, policy.Policy]:
        if self.draining:
            raise errors.RefusedError(reason.Reason.DRAINING, "this node is draining")
        current_view = self._current_view()
        if current_view is None:
            raise errors.RefusedError(
                reason.Reason.NO_CONFIGURATION, "no published set is in force yet"
            )
        host = (received.value_by_name.get(b"host") or b"").decode("latin-1")
        matched = current_view.routes.match(received.method.decode(), host, received.path)
        if matched is None:
            raise errors.RefusedError(
                reason.Reason.NO_ROUTE, f"no route for {received.method.decode()} {received.path}"
            )
        return matched, current_view.objects.policy_for(matched)

    async def _build_call(
        self,
        received: request.Request,
        matched: route.Route,
        resolved: policy.Policy,
        span: tracing.HopSpan,
        started_s: float,
        deadline_s: float | None,
    ) -> call.Call:
        depth = _integer_field(received, header_names.DEPTH, 0)
        if depth >= MAX_CALL_DEPTH:
            raise errors.RefusedError(
                reason.Reason.DEPTH,
                f"nested {depth} calls deep; allowed: {MAX_CALL_DEPTH}",
            )
        timeout_ms = min(
            _integer_field(received, header_names.TIMEOUT_MS, resolved.timeout_ms),
            resolved.timeout_ms,
        )
        policy_deadline_s = started_s + timeout_ms / 1000
        return call.Call(
            received=received,
            route=matched,
            policy=resolved,
            service=matched.service,
            payload=await payloads.receive(received),
            head=_forwarded_head(received),
            deadline_s=policy_deadline_s
            if deadline_s is None
            else min(policy_deadline_s, deadline_s),
            resends=_integer_field(received, header_names.ATTEMPTS, 0),
            depth=depth,
            idempotent=_is_idempotent(received, resolved),
            span=span,
        )

    async def _answer(
        self, ongoing_call: call.Call, connection: server_connection.ServerConnection
    ) -> None:
        received = ongoing_call.received
        key = received.value_by_name.get(header_names.IDEMPOTENCY_KEY)
        has_ticket = key is not None and key.startswith(_TICKET_PREFIX)
        if _needs_ticket(ongoing_call) and not has_ticket:
            raise self._tickets.ticket_required_error()
        if key is not None and has_ticket:
            await self._tickets.answer(ongoing_call, key.decode("latin-1"), connection)
            return
        ongoing = await self._dispatcher.dispatch(
            ongoing_call, answering.informational_forwarder(received, connection)
        )
        await relay.relay(
            ongoing,
            received,
            connection,
            relay.caller_head(ongoing.answer),
            ongoing_call.deadline_s,
        )

    def _answer_invalid_body(
        self,
        connection: server_connection.ServerConnection,
        error: http_errors.BadMessageError,
    ) -> None:
        """Answers a request that was not forwarded because its body is invalid."""
        if connection.answer_started:
            connection.abort()
            return
        connection.close_after_answer()
        problem.answer_bad_message(connection, error)


def _needs_ticket(ongoing_call: call.Call) -> bool:
    required = ongoing_call.policy.idempotency_key == "required"
    return required and ongoing_call.received.method not in _SAFE_METHODS


def _integer_field(received: request.Request, name: bytes, default: int) -> int:
    value = received.value_by_name.get(name)
    if value is None:
        return default
    if not value.isdigit() or len(value) > _MAX_INTEGER_FIELD_DIGITS:
        raise errors.RefusedError(
            reason.Reason.BAD_REQUEST,
            f"field {name.decode()}: found {value[:32]!r};"
            f" allowed: an integer of at most {_MAX_INTEGER_FIELD_DIGITS} digits",
        )
    return int(value)


def _forwarded_head(received: request.Request) -> list[fields.Field]:
    return fields.forwarded(received.fields, drop=header_names.REPLACED_AT_EACH_HOP)


def _is_idempotent(received: request.Request, resolved: policy.Policy) -> bool:
    if resolved.idempotent is not None:
        return resolved.idempotent
    return received.method in _IDEMPOTENT_METHODS
