"""Client for calls to other nodes."""

import asyncio
import time
from collections.abc import Callable, Sequence

from laburnumford_node import errors, exchange, header_names, reason
from laburnumford_node import payload as payloads
from laburnumford_node.http import client_connection, fields, pool
from laburnumford_node.http import errors as http_errors
from laburnumford_policy import choice

HELLO_TARGET = b"/.laburnumford/hello"

_MAX_HELLO_ROUND_TRIP_S = 0.03
"""Slower replies to a hello make the client repeat it. The one-way delay is 1.5 ms between zones
and some tens of milliseconds between regions."""

_MAX_HELLO_ATTEMPTS = 3

_REFUSAL_MARGIN_S = 0.02
"""Time after the deadline in which a refusal can still arrive from a peer that stops waiting at the
deadline. A refusal proves that the request did not run; a timeout leaves the outcome unknown."""


async def send_hello(connection: client_connection.ClientConnection) -> None:
    """Sends the hello on a new connection and stores the nonce that the peer replies with.

    Transit delays are measured from the reply. The delay of a slow reply would be counted
    in the transit delay of each request on the connection, so the hello is repeated.

    Raises:
        HttpError: the connection failed or the reply is not that of a node.
    """
    for _ in range(_MAX_HELLO_ATTEMPTS):
        sent_s = time.monotonic()
        connection.nonce = await _request_nonce(connection)
        # The peer recorded the time of the hello before it replied. Counting from the reply
        # overstates the delay of a request by at most the transit time of the reply and
        # never understates it.
        connection.hello_at_s = time.monotonic()
        if connection.hello_at_s - sent_s <= _MAX_HELLO_ROUND_TRIP_S:
            return


async def _request_nonce(connection: client_connection.ClientConnection) -> bytes:
    connection.begin_exchange(b"GET")
    connection.write(fields.encode(b"GET %b HTTP/1.1" % HELLO_TARGET, [(b"host", b"peer")]))
    connection.end_request()
    answer = await connection.answer()
    connection.peer_name = fields.get(answer.fields, header_names.NODE) or b""
    nonce = fields.get(answer.fields, header_names.CONNECTION)
    if answer.status != 204 or nonce is None:
        raise http_errors.BadMessageError(502, f"hello was answered with {answer.status}")
    return nonce


class PeerClient:
    """Sends calls to the nodes of other backend servers.

    Args:
        connections: pool that runs `send_hello` on each new connection.
        clock: monotonic clock in seconds.
    """

    def __init__(self, *, connections: pool.Pool, clock: Callable[[], float]) -> None:
        self._connections = connections
        self._clock = clock

    async def call(
        self,
        *,
        address: str,
        node: str,
        method: bytes,
        target: bytes,
        head: Sequence[fields.Field],
        payload: payloads.Payload,
        deadline_s: float,
        on_end: Callable[[bool], None],
        on_informational: client_connection.InformationalCallback | None = None,
    ) -> exchange.Exchange:
        """Sends one request and returns as soon as the header section of its answer has arrived.

        Args:
            address: peer address of the node, ``ip:port``.
            node: name that the node must have. The address may have passed to another VM,
                whose server must not get the call.
            method: request method.
            target: request target in origin form.
            head: header fields without framing and connection fields.
            payload: body of the request.
            deadline_s: monotonic time in seconds by which the answer is needed.
            on_end: called once when the exchange has ended, with whether the answer
                was received completely.
            on_informational: called for 1xx answers other than 100.

        Raises:
            NotWrittenError: nothing of the request was written: no connection to a node of
                this name could be opened, or the deadline has passed.
            RefusedError: the node refused the request, which did not run.
            UnknownOutcomeError: the request may have run.
            CallerError: the body from the caller ended early.
        """
        connection = await self._acquire(address, node, deadline_s)

        def release(whole: bool) -> None:
            self._connections.release(address, connection)
            on_end(whole)

        ongoing = exchange.Exchange(connection=connection, release=release)
        now = self._clock()
        if now >= deadline_s:
            self._connections.release(address, connection)
            raise errors.NotWrittenError(
                reason.Reason.DEADLINE, "the deadline passed before the request was sent"
            )
        framed = [
            *head,
            (header_names.CONNECTION, connection.nonce),
            (header_names.SENT_MS, b"%d" % int((now - connection.hello_at_s) * 1000)),
            (header_names.TIMEOUT_MS, b"%d" % max(int((deadline_s - now) * 1000), 0)),
        ]
        try:
            async with asyncio.timeout(deadline_s - now + _REFUSAL_MARGIN_S):
                answer = await ongoing.send(
                    method=method,
                    target=target,
                    head=framed,
                    payload=payload,
                    expect_continue=True,
                    on_informational=on_informational,
                )
        except TimeoutError as error:
            ongoing.abandon()
            raise errors.UnknownOutcomeError(
                reason.Reason.TIMEOUT, f"the node at {address} did not answer before the deadline"
            ) from error
        except http_errors.HttpError as error:
            ongoing.abandon()
            raise _attempt_error(ongoing, connection, error) from error
        except BaseException:
            ongoing.abandon()
            raise
        if fields.get(answer.fields, header_names.OUTCOME) is not None:
            await _raise_problem(ongoing)
        return ongoing

    async def _acquire(
        self, address: str, node: str, deadline_s: float
    ) -> client_connection.ClientConnection:
        try:
            async with asyncio.timeout(deadline_s - self._clock()):
                connection = await self._connections.acquire(address)
        except http_errors.ConnectError as error:
            raise errors.NotWrittenError(reason.Reason.NO_SERVER, str(error)) from error
        except TimeoutError as error:
            raise errors.NotWrittenError(
                reason.Reason.DEADLINE, f"no connection to {address} before the deadline"
            ) from error
        if connection.peer_name != node.encode():
            connection.close()
            raise errors.NotWrittenError(
                reason.Reason.NO_SERVER,
                f"at {address} found node {connection.peer_name!r}; wanted {node!r}",
            )
        return connection


def load_report(sent: Sequence[fields.Field]) -> choice.LoadReport | None:
    """Returns the load report in the header fields of an answer, or None without a valid one."""
    value = fields.get(sent, header_names.LOAD)
    if value is None:
        return None
    try:
        return choice.LoadReport.decode(value.decode("latin-1"))
    except ValueError:
        return None


def _attempt_error(
    ongoing: exchange.Exchange,
    connection: client_connection.ClientConnection,
    error: http_errors.HttpError,
) -> errors.NodeError:
    if ongoing.caller_error is not None:
        return errors.CallerError(str(ongoing.caller_error))
    if not connection.has_written:
        return errors.NotWrittenError(reason.Reason.NO_SERVER, str(error))
    return errors.UnknownOutcomeError(reason.Reason.SERVER_FAILED, str(error))


async def _raise_problem(ongoing: exchange.Exchange) -> None:
    """Raises the error that a problem answer of the peer reports."""
    head = ongoing.answer.fields
    outcome = fields.get(head, header_names.OUTCOME)
    label = (fields.get(head, header_names.REASON) or b"").decode("latin-1")
    peer_reason = reason.BY_LABEL.get(label, reason.Reason.SERVER_FAILED)
    report = load_report(head)
    # The problem body is small; reading it completely keeps the connection reusable.
    try:
        whole = await ongoing.answer.body.wait_until_buffered(payloads.MAX_BUFFERED_BODY_BYTES)
        ongoing.answer.body.take()
    except http_errors.HttpError:
        whole = False
    await ongoing.end(whole=whole)
    if outcome == b"refused":
        raise errors.RefusedError(peer_reason, "refused by the node beside the server", report)
    raise errors.UnknownOutcomeError(peer_reason, "reported by the node beside the server")
