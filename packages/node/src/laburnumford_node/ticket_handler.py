"""Tickets for at-most-once requests: issue, forwarding to the issuing node, kept answers."""

import asyncio
import hashlib
import json
from collections.abc import Awaitable, Callable

from laburnumford_node import (
    call,
    errors,
    exchange,
    header_names,
    outcome,
    peer_client,
    problem,
    reason,
    relay,
    view,
)
from laburnumford_node.http import errors as http_errors
from laburnumford_node.http import fields, request, server_connection
from laburnumford_policy.once import begin_state, kept_answer, ticket, ticket_store
from laburnumford_policy.once import errors as once_errors

ISSUE_PATH = "/.laburnumford/tickets"
_MAX_TICKETS_PER_REQUEST = 100
_MAX_KEPT_ANSWER_BYTES = 16 * 1024

Dispatch = Callable[[call.Call], Awaitable[exchange.Exchange]]


class TicketHandler:
    """Issues tickets and answers the requests that carry one.

    The node that issued a ticket is its owner. Only the incarnation of the owner that issued the
    ticket sends requests with that ticket to backend servers, so at-most-once execution needs no
    agreement between nodes.

    Args:
        node: name of this node, which its tickets contain.
        incarnation: incarnation of this node.
        store: state of the tickets that this node issued.
        dispatch: sends a call to a backend server and returns the exchange.
        peers: client that calls the nodes that issued other tickets.
        current_view: returns the view in force.
        clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        node: str,
        incarnation: int,
        store: ticket_store.TicketStore,
        dispatch: Dispatch,
        peers: peer_client.PeerClient,
        current_view: Callable[[], view.View],
        clock: Callable[[], float],
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._store = store
        self._dispatch = dispatch
        self._peers = peers
        self._current_view = current_view
        self._clock = clock
        self.draining = False

    def issue(
        self, received: request.Request, connection: server_connection.ServerConnection
    ) -> None:
        """Answers a request for new tickets."""
        count = _requested_count(received)
        if received.method != b"POST" or count is None or self.draining:
            refusal_reason = reason.Reason.DRAINING if self.draining else reason.Reason.BAD_REQUEST
            detail = f"POST {ISSUE_PATH}?count=N with N from 1 to {_MAX_TICKETS_PER_REQUEST}"
            connection.write(problem.encode(refusal_reason, outcome.Outcome.REFUSED, detail))
            return
        try:
            tickets = [self._store.issue(self._clock()) for _ in range(count)]
        except once_errors.TicketError as error:
            connection.write(
                problem.encode(reason.Reason.OVERLOADED, outcome.Outcome.REFUSED, str(error))
            )
            return
        payload = json.dumps({"tickets": tickets}).encode()
        head = [
            (b"content-type", b"application/json"),
            (b"cache-control", b"no-store"),
            (b"content-length", b"%d" % len(payload)),
        ]
        connection.write(fields.encode(problem.status_line(200), head) + payload)

    def ticket_required_error(self) -> errors.RefusedError:
        """Returns the error for a request that lacks a ticket; it includes a fresh ticket."""
        if self.draining:
            return errors.RefusedError(reason.Reason.DRAINING, "this node is draining")
        try:
            fresh = self._store.issue(self._clock())
        except once_errors.TicketError as error:
            return errors.RefusedError(reason.Reason.OVERLOADED, str(error))
        return errors.TicketRequiredError(
            "send the request again with the idempotency-key of this answer",
            (header_names.IDEMPOTENCY_KEY, fresh.encode()),
        )

    async def answer(
        self,
        ticketed_call: call.Call,
        key: str,
        connection: server_connection.ServerConnection,
    ) -> None:
        """Answers a request with a ticket, here or through the node that issued the ticket.

        Raises:
            RefusedError: this request did not run and never will.
            UnknownOutcomeError: the request may have run.
            CallerError: the body from the caller ended early.
        """
        try:
            parsed = ticket.parse(key)
        except once_errors.TicketError as error:
            raise errors.RefusedError(reason.Reason.TICKET_INVALID, str(error)) from error
        if parsed.node != self._node:
            await self._forward(ticketed_call, parsed.node, key, connection)
            return
        if parsed.incarnation != self._incarnation:
            raise errors.UnknownOutcomeError(
                reason.Reason.TICKET_OWNER_GONE, "the node that issued the ticket has restarted"
            )
        await self._answer_as_owner(ticketed_call, key, connection)

    async def _answer_as_owner(
        self,
        ticketed_call: call.Call,
        key: str,
        connection: server_connection.ServerConnection,
    ) -> None:
        begun = self._store.begin(key, _digest(ticketed_call), self._clock())
        if begun.state is begin_state.BeginState.DONE:
            _replay_answer(begun.answer, ticketed_call.received, connection)
            return
        if begun.state is not begin_state.BeginState.FRESH:
            raise _error_by_state(begun.state)
        # The answer is kept for a retry by the caller, so the request goes on if the caller leaves.
        connection.keep_running()
        try:
            ongoing = await self._dispatch(ticketed_call)
        except errors.RefusedError:
            self._store.release(key, self._clock(), dispatch_id=begun.dispatch_id)
            raise
        except BaseException:
            self._store.mark_unknown(key, self._clock())
            raise
        try:
            await self._relay_and_keep(ongoing, key, ticketed_call, connection)
        except BaseException:
            self._store.mark_unknown(key, self._clock())
            raise

    async def _relay_and_keep(
        self,
        ongoing: exchange.Exchange,
        key: str,
        ticketed_call: call.Call,
        connection: server_connection.ServerConnection,
    ) -> None:
        answer = ongoing.answer
        head = relay.caller_head(answer)
        length = answer.content_length
        small = answer.bodyless or (length is not None and length <= _MAX_KEPT_ANSWER_BYTES)
        if not small:
            await relay.relay(
                ongoing, ticketed_call.received, connection, head, ticketed_call.deadline_s
            )
            self._store.finish(key, None, self._clock())
            return
        try:
            if not answer.bodyless:
                await answer.body.wait_until_buffered(_MAX_KEPT_ANSWER_BYTES)
        except http_errors.HttpError as error:
            ongoing.abandon()
            raise errors.UnknownOutcomeError(reason.Reason.BROKEN_ANSWER, str(error)) from error
        except asyncio.CancelledError:
            ongoing.abandon()
            raise
        data = answer.body.take()
        await ongoing.end(whole=True)
        kept = kept_answer.KeptAnswer(status=answer.status, headers=tuple(head), body=data)
        self._store.finish(key, kept, self._clock())
        _write_kept_answer(kept, ticketed_call.received, connection)

    async def _forward(
        self,
        ticketed_call: call.Call,
        owner_name: str,
        key: str,
        connection: server_connection.ServerConnection,
    ) -> None:
        current_view = self._current_view()
        owner = current_view.servers_by_name.get(owner_name)
        if owner is None:
            raise errors.UnknownOutcomeError(
                reason.Reason.TICKET_OWNER_GONE,
                f"node {owner_name} is not published",
            )
        head = [
            *ticketed_call.head,
            (header_names.TARGET, b"owner"),
            (header_names.IDEMPOTENCY_KEY, key.encode()),
            (header_names.ATTEMPTS, b"%d" % ticketed_call.resends),
            (header_names.DEPTH, b"%d" % ticketed_call.depth),
            (header_names.VERSION, b"%d" % current_view.version),
            (header_names.TRACEPARENT, ticketed_call.span.traceparent()),
        ]
        try:
            ongoing = await self._peers.call(
                address=owner.peer_address,
                node=owner_name,
                method=ticketed_call.received.method,
                target=ticketed_call.received.target,
                head=head,
                payload=ticketed_call.payload,
                deadline_s=ticketed_call.deadline_s,
                on_end=_ignore_end,
            )
        except errors.NotWrittenError as error:
            # This request was not sent, but an earlier one may have reached the owner.
            raise errors.UnknownOutcomeError(
                reason.Reason.TICKET_OWNER_GONE, error.detail
            ) from error
        await relay.relay(
            ongoing,
            ticketed_call.received,
            connection,
            relay.caller_head(ongoing.answer),
            ticketed_call.deadline_s,
        )


def _ignore_end(whole: bool) -> None:
    """Ignores the end of an exchange."""


def _digest(ticketed_call: call.Call) -> bytes:
    """Returns the digest that ties a ticket to one request.

    A streamed body is not read before the ticket is checked, so the digest contains its
    declared length instead of its bytes.
    """
    hashed = hashlib.blake2b(digest_size=16)
    hashed.update(ticketed_call.received.method + b" " + ticketed_call.received.target + b"\n")
    data = ticketed_call.payload.data
    if data is not None:
        hashed.update(data)
    else:
        hashed.update(b"%d" % (ticketed_call.payload.content_length or -1))
    return hashed.digest()


def _requested_count(received: request.Request) -> int | None:
    _, _, query = received.target.partition(b"?")
    if not query:
        return 1
    name, _, value = query.partition(b"=")
    if name != b"count" or not value.isdigit() or len(value) > 3:
        return None
    return int(value) if 1 <= int(value) <= _MAX_TICKETS_PER_REQUEST else None


def _replay_answer(
    kept: kept_answer.KeptAnswer | None,
    received: request.Request,
    connection: server_connection.ServerConnection,
) -> None:
    if kept is None:
        raise errors.UnknownOutcomeError(
            reason.Reason.TICKET_DONE,
            "the request ran to its end; its answer was too large to keep",
        )
    _write_kept_answer(kept, received, connection)


def _write_kept_answer(
    kept: kept_answer.KeptAnswer,
    received: request.Request,
    connection: server_connection.ServerConnection,
) -> None:
    head = list(kept.headers)
    if kept.status not in {204, 304}:
        head.append((b"content-length", b"%d" % len(kept.body)))
    if not received.keep_alive:
        head.append((b"connection", b"close"))
    connection.write(fields.encode(problem.status_line(kept.status), head) + kept.body)


def _error_by_state(state: begin_state.BeginState) -> errors.AttemptError:
    if state is begin_state.BeginState.IN_FLIGHT:
        return errors.UnknownOutcomeError(
            reason.Reason.IN_FLIGHT, "an earlier request with this ticket is in flight"
        )
    if state is begin_state.BeginState.MISMATCH:
        return errors.RefusedError(
            reason.Reason.TICKET_MISMATCH, "the ticket was first used with another request"
        )
    if state is begin_state.BeginState.INVALID:
        return errors.RefusedError(
            reason.Reason.TICKET_INVALID, "the ticket was not issued by this node"
        )
    return errors.UnknownOutcomeError(
        reason.Reason.TICKET_UNKNOWN, "the ticket expired or its first request failed"
    )
