"""The peer listener: requests from other nodes."""

import secrets
from collections.abc import Awaitable, Callable

from laburnumford_node import (
    adjacent,
    answering,
    errors,
    header_names,
    peer_client,
    problem,
    reason,
    relay,
    tracing,
)
from laburnumford_node import payload as payloads
from laburnumford_node.http import errors as http_errors
from laburnumford_node.http import fields, request, server_connection
from laburnumford_policy.admission import priority as priorities
from laburnumford_policy.once import attempt_guard, guard_decision

_NONCE_BYTES = 12
_MAX_TIME_FIELD_MS = 24 * 3600 * 1000

OwnerHandler = Callable[
    [request.Request, server_connection.ServerConnection, float], Awaitable[None]
]
"""Answers a request that was forwarded to the node that issued its ticket.

Gets the request, its connection and the deadline as monotonic time in seconds."""


class PeerListener:
    """Answers hellos and requests of other nodes.

    Requests run on the adjacent server. Requests whose ticket this node issued go to
    `owner_handler`.

    Args:
        node: name of this node.
        incarnation: incarnation of this node.
        server: the adjacent backend server.
        owner_handler: answers the requests whose ticket this node issued.
        version: returns the number of the version in force.
        on_peer_version: called with the version that a peer sent.
        tracer: starts spans.
        clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        node: str,
        incarnation: str,
        server: adjacent.AdjacentServer,
        owner_handler: OwnerHandler,
        version: Callable[[], int],
        on_peer_version: Callable[[bytes], None],
        tracer: tracing.Tracer,
        clock: Callable[[], float],
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._server = server
        self._owner_handler = owner_handler
        self._version = version
        self._on_peer_version = on_peer_version
        self._tracer = tracer
        self._clock = clock
        self.stale_requests_count = 0
        self.draining = False

    async def handle(
        self, received: request.Request, connection: server_connection.ServerConnection
    ) -> None:
        """Answers one request of a peer."""
        if received.target == peer_client.HELLO_TARGET:
            self._answer_hello(connection)
            return
        try:
            deadline_s = self._check_connection(received, connection)
        except errors.RefusedError as error:
            self._refuse(connection, received, error)
            return
        version = received.value_by_name.get(header_names.VERSION)
        if version is not None:
            self._on_peer_version(version)
        if received.value_by_name.get(header_names.TARGET) == b"owner":
            await self._owner_handler(received, connection, deadline_s)
            return
        span = self._tracer.start("peer", received.value_by_name.get(header_names.TRACEPARENT))
        try:
            await self._run(received, connection, deadline_s, span)
        finally:
            span.end()

    def _answer_hello(self, connection: server_connection.ServerConnection) -> None:
        nonce = secrets.token_hex(_NONCE_BYTES)
        connection.context["guard"] = attempt_guard.AttemptGuard(
            nonce=nonce, hello_at=self._clock()
        )
        head = [
            (header_names.CONNECTION, nonce.encode()),
            (header_names.NODE, self._node.encode()),
            (header_names.INCARNATION, self._incarnation.encode()),
        ]
        connection.write(fields.encode(problem.status_line(204), head))

    def _check_connection(
        self, received: request.Request, connection: server_connection.ServerConnection
    ) -> float:
        """Returns the deadline as monotonic time of this node in seconds.

        Raises:
            RefusedError: the request was sent for another connection, or its deadline
                passed in transit.
        """
        guard: attempt_guard.AttemptGuard | None = connection.context.get("guard")
        if guard is None:
            raise self._stale_connection_error()
        now = self._clock()
        decision = guard.check(
            (received.value_by_name.get(header_names.CONNECTION) or b"").decode("latin-1"),
            _milliseconds_field(received, header_names.SENT_MS),
            _milliseconds_field(received, header_names.TIMEOUT_MS),
            now,
        )
        if decision.outcome is guard_decision.GuardOutcome.STALE_CONNECTION:
            raise self._stale_connection_error()
        if decision.outcome is guard_decision.GuardOutcome.DEADLINE_EXCEEDED:
            raise errors.RefusedError(
                reason.Reason.DEADLINE, "the deadline passed before the request was admitted"
            )
        return now + decision.remaining_s

    def _stale_connection_error(self) -> errors.RefusedError:
        self.stale_requests_count += 1
        return errors.RefusedError(
            reason.Reason.STALE_CONNECTION, "the request was written for another connection"
        )

    async def _run(
        self,
        received: request.Request,
        connection: server_connection.ServerConnection,
        deadline_s: float,
        span: tracing.HopSpan,
    ) -> None:
        try:
            payload = await payloads.receive(received, read_chunked=False)
            ongoing = await self._server.run(
                method=received.method,
                target=received.target,
                head=self._server_head(received, deadline_s, span),
                payload=payload,
                priority=_priority(received),
                deadline_s=deadline_s,
                on_informational=answering.informational_forwarder(received, connection),
            )
            await relay.relay(
                ongoing,
                received,
                connection,
                self._answer_head(ongoing.answer.fields),
                deadline_s,
            )
        except errors.AttemptError as error:
            span.set_attribute("laburnumford.reason", error.reason.label)
            self._refuse(connection, received, error)
        except (errors.CallerError, http_errors.HttpError):
            connection.abort()

    def _server_head(
        self, received: request.Request, deadline_s: float, span: tracing.HopSpan
    ) -> list[fields.Field]:
        head = fields.forwarded(
            received.fields, keep=_KEPT_TOWARDS_SERVER, drop=header_names.REPLACED_AT_EACH_HOP
        )
        remaining_ms = max(int((deadline_s - self._clock()) * 1000), 1)
        head.append((header_names.TIMEOUT_MS, b"%d" % remaining_ms))
        head.append((header_names.TRACEPARENT, span.traceparent()))
        return head

    def _answer_head(self, sent: list[fields.Field]) -> list[fields.Field]:
        head = fields.forwarded(sent, keep=_KEPT_TOWARDS_NODE)
        head.append((header_names.LOAD, self._server.report().encode().encode()))
        head.append((header_names.VERSION, b"%d" % self._version()))
        return head

    def _refuse(
        self,
        connection: server_connection.ServerConnection,
        received: request.Request,
        error: errors.AttemptError,
    ) -> None:
        load = (header_names.LOAD, self._server.report().encode().encode())
        answering.write_problem(received, connection, error, extra=[load])


_KEPT_TOWARDS_SERVER = frozenset({header_names.ATTEMPTS, header_names.DEPTH})
_KEPT_TOWARDS_NODE = frozenset({header_names.DRAINING})


def _priority(received: request.Request) -> str:
    value = received.value_by_name.get(header_names.PRIORITY, b"").decode("latin-1")
    if value not in priorities.RANK_BY_PRIORITY:
        allowed = ", ".join(priorities.PRIORITIES)
        raise errors.RefusedError(
            reason.Reason.BAD_REQUEST,
            f"field laburnumford-priority: found {value[:32]!r}; allowed: {allowed}",
        )
    return value


def _milliseconds_field(received: request.Request, name: bytes) -> int:
    value = received.value_by_name.get(name)
    milliseconds = fields.parse_integer(value)
    if milliseconds is None or milliseconds > _MAX_TIME_FIELD_MS:
        found = None if value is None else value[:32]
        raise errors.RefusedError(
            reason.Reason.BAD_REQUEST,
            f"field {name.decode()}: found {found!r}; allowed: 0 to {_MAX_TIME_FIELD_MS}",
        )
    return milliseconds
