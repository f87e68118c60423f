"""Requests that carry a ticket: issue, ownership and kept answers."""

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
_MAX_ISSUED = 100
_KEPT_ANSWER_BYTES = 16 * 1024

Dispatch = Callable[[call.Call], Awaitable[exchange.Exchange]]


class TicketDesk:
    """Answers requests of routes that require a ticket.

    The incarnation that issued a ticket is the only one that ever hands a request
    with it to a backend server, so that no two nodes need to agree.

    Args:
        node: name of this node, which its tickets carry.
        incarnation: incarnation of this node.
        book: state of the tickets issued here.
        dispatch: has a call answered by a backend server.
        peers: client for the nodes that own other tickets.
        current: returns the view in force.
        clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        node: str,
        incarnation: int,
        book: ticket_store.TicketStore,
        dispatch: Dispatch,
        peers: peer_client.PeerClient,
        current: Callable[[], view.View],
        clock: Callable[[], float],
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._book = book
        self._dispatch = dispatch
        self._peers = peers
        self._current = current
        self._clock = clock
        self.draining = False

    def issue(
        self, received: request.Request, connection: server_connection.ServerConnection
    ) -> None:
        """Answers a request for tickets."""
        count = _requested_count(received)
        if received.method != b"POST" or count is None or self.draining:
            why = reason.Reason.DRAINING if self.draining else reason.Reason.BAD_REQUEST
            detail = f"POST {ISSUE_PATH}?count=N with N from 1 to {_MAX_ISSUED}"
            connection.write(problem.encode(why, outcome.Outcome.REFUSED, detail))
            return
        try:
            tickets = [self._book.issue(self._clock()) for _ in range(count)]
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
        connection.write(fields.encode(problem.start_line(200), head) + payload)

    def refuse_without_ticket(self) -> errors.RefusedError:
        """Returns the refusal of a request without a ticket, with a fresh one."""
        if self.draining:
            return errors.RefusedError(reason.Reason.DRAINING, "this node is draining")
        try:
            fresh = self._book.issue(self._clock())
        except once_errors.TicketError as error:
            return errors.RefusedError(reason.Reason.OVERLOADED, str(error))
        return errors.TicketRequiredError(
            "send the request again with the idempotency-key of this answer",
            (header_names.IDEMPOTENCY_KEY, fresh.encode()),
        )

    async def answer(
        self,
        ticketed: call.Call,
        key: str,
        connection: server_connection.ServerConnection,
    ) -> None:
        """Answers a request with a ticket, here or through the ticket's owner.

        Raises:
            RefusedError: the request did not run and never will by this request.
            UnknownOutcomeError: it cannot be known whether the request ran.
            CallerError: the caller's body broke off.
        """
        try:
            parsed = ticket.parse(key)
        except once_errors.TicketError as error:
            raise errors.RefusedError(reason.Reason.TICKET_INVALID, str(error)) from error
        if parsed.node != self._node:
            await self._forward(ticketed, parsed.node, key, connection)
            return
        if parsed.incarnation != self._incarnation:
            raise errors.UnknownOutcomeError(
                reason.Reason.TICKET_OWNER_GONE, "the node that issued the ticket has restarted"
            )
        await self._answer_own(ticketed, key, connection)

    async def _answer_own(
        self,
        ticketed: call.Call,
        key: str,
        connection: server_connection.ServerConnection,
    ) -> None:
        begun = self._book.begin(key, _digest(ticketed), self._clock())
        if begun.state is begin_state.BeginState.DONE:
            _repeat(begun.answer, ticketed.received, connection)
            return
        if begun.state is not begin_state.BeginState.FRESH:
            raise _error_by_state(begun.state)
        # The result is kept for a repeat, so the work goes on without the caller.
        connection.keep_running()
        try:
            ongoing = await self._dispatch(ticketed)
        except errors.RefusedError:
            self._book.release(key, self._clock(), dispatch_id=begun.dispatch_id)
            raise
        except BaseException:
            self._book.mark_unknown(key, self._clock())
            raise
        try:
            await self._relay_and_keep(ongoing, key, ticketed, connection)
        except BaseException:
            self._book.mark_unknown(key, self._clock())
            raise

    async def _relay_and_keep(
        self,
        ongoing: exchange.Exchange,
        key: str,
        ticketed: call.Call,
        connection: server_connection.ServerConnection,
    ) -> None:
        answer = ongoing.answer
        head = relay.caller_head(answer)
        length = answer.content_length
        small = answer.bodyless or (length is not None and length <= _KEPT_ANSWER_BYTES)
        if not small:
            await relay.relay(ongoing, ticketed.received, connection, head, ticketed.deadline_s)
            self._book.finish(key, None, self._clock())
            return
        try:
            if not answer.bodyless:
                await answer.body.wait_whole(_KEPT_ANSWER_BYTES)
        except http_errors.HttpError as error:
            ongoing.abandon()
            raise errors.UnknownOutcomeError(reason.Reason.BROKEN_ANSWER, str(error)) from error
        except asyncio.CancelledError:
            ongoing.abandon()
            raise
        data = answer.body.take()
        await ongoing.end(whole=True)
        kept = kept_answer.KeptAnswer(status=answer.status, headers=tuple(head), body=data)
        self._book.finish(key, kept, self._clock())
        _write_kept(kept, ticketed.received, connection)

    async def _forward(
        self,
        ticketed: call.Call,
        owner_name: str,
        key: str,
        connection: server_connection.ServerConnection,
    ) -> None:
        current = self._current()
        owner = current.servers_by_name.get(owner_name)
        if owner is None:
            raise errors.UnknownOutcomeError(
                reason.Reason.TICKET_OWNER_GONE, f"node {owner_name} is not published"
            )
        head = [
            *ticketed.head,
            (header_names.TARGET, b"owner"),
            (header_names.IDEMPOTENCY_KEY, key.encode()),
            (header_names.ATTEMPTS, b"%d" % ticketed.resends),
            (header_names.DEPTH, b"%d" % ticketed.depth),
            (header_names.VERSION, b"%d" % current.version),
            (header_names.TRACEPARENT, ticketed.span.traceparent()),
        ]
        try:
            ongoing = await self._peers.call(
                address=owner.peer_address,
                node=owner_name,
                method=ticketed.received.method,
                target=ticketed.received.target,
                head=head,
                payload=ticketed.payload,
                deadline_s=ticketed.deadline_s,
                on_end=_ignore,
            )
        except errors.NotWrittenError as error:
            # Nothing was written now, but an earlier request may have reached the owner.
            raise errors.UnknownOutcomeError(
                reason.Reason.TICKET_OWNER_GONE, error.detail
            ) from error
        await relay.relay(
            ongoing,
            ticketed.received,
            connection,
            relay.caller_head(ongoing.answer),
            ticketed.deadline_s,
        )


def _ignore(whole: bool) -> None:
    """Ends an exchange that nothing waits for."""


def _digest(ticketed: call.Call) -> bytes:
    """Returns the digest that binds a ticket to its request.

    A streamed body is not read before the ticket is checked; its declared length
    stands for it.
    """
    hashed = hashlib.blake2b(digest_size=16)
    hashed.update(ticketed.received.method + b" " + ticketed.received.target + b"\n")
    data = ticketed.payload.data
    if data is not None:
        hashed.update(data)
    else:
        hashed.update(b"%d" % (ticketed.payload.content_length or -1))
    return hashed.digest()


def _requested_count(received: request.Request) -> int | None:
    _, _, query = received.target.partition(b"?")
    if not query:
        return 1
    name, _, value = query.partition(b"=")
    if name != b"count" or not value.isdigit() or len(value) > 3:
        return None
    return int(value) if 1 <= int(value) <= _MAX_ISSUED else None


def _repeat(
    kept: kept_answer.KeptAnswer | None,
    received: request.Request,
    connection: server_connection.ServerConnection,
) -> None:
    if kept is None:
        raise errors.UnknownOutcomeError(
            reason.Reason.TICKET_DONE,
            "the request ran to its end; its answer was too large to keep",
        )
    _write_kept(kept, received, connection)


def _write_kept(
    kept: kept_answer.KeptAnswer,
    received: request.Request,
    connection: server_connection.ServerConnection,
) -> None:
    head = list(kept.headers)
    if kept.status not in {204, 304}:
        head.append((b"content-length", b"%d" % len(kept.body)))
    if not received.keep_alive:
        head.append((b"connection", b"close"))
    connection.write(fields.encode(problem.start_line(kept.status), head) + kept.body)


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
