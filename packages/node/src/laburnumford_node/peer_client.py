"""Calls to other nodes."""

import asyncio
import time
from collections.abc import Callable, Sequence

from laburnumford_node import errors, exchange, header_names, reason
from laburnumford_node import payload as payloads
from laburnumford_node.http import client_connection, fields, pool
from laburnumford_node.http import errors as http_errors
from laburnumford_policy import choice

HELLO_TARGET = b"/.laburnumford/hello"

_FAST_HELLO_S = 0.03
"""Zones are 1.5 ms apart one way, and regions some tens of milliseconds."""

_MAX_HELLOS = 3

_REFUSAL_MARGIN_S = 0.02
"""Lets the refusal of a node that ends the wait at the deadline arrive: it is a proof."""


async def greet(connection: client_connection.ClientConnection) -> None:
    """Asks the peer for the nonce of a new connection.

    The reply also starts the clock that transit delay is measured by. A slow reply
    would make each request of the connection look that late, so the hello is repeated.

    Raises:
        HttpError: the peer did not answer as a node does.
    """
    for _ in range(_MAX_HELLOS):
        asked_s = time.monotonic()
        connection.nonce = await _ask_nonce(connection)
        # The peer stamped the hello before it replied. Counting from the reply makes a
        # request look later than it is by at most the transit of the reply, never earlier.
        connection.hello_at_s = time.monotonic()
        if connection.hello_at_s - asked_s <= _FAST_HELLO_S:
            return


async def _ask_nonce(connection: client_connection.ClientConnection) -> bytes:
    connection.begin(b"GET")
    connection.write(fields.encode(b"GET %b HTTP/1.1" % HELLO_TARGET, [(b"host", b"peer")]))
    connection.end_request()
    answer = await connection.answer()
    connection.peer_name = fields.get(answer.fields, header_names.NODE) or b""
    nonce = fields.get(answer.fields, header_names.CONNECTION)
    if answer.status != 204 or nonce is None:
        raise http_errors.BadMessageError(502, f"hello was answered with {answer.status}")
    return nonce


class PeerClient:
    """Sends calls to the nodes beside other backend servers.

    Args:
        connections: pool whose greeting is `greet`.
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
        """Sends one request and returns when the header section of its answer arrived.

        Args:
            address: peer address of the node, ``ip:port``.
            node: name that the node must have. An address can belong to another VM by
                now, whose server must not get the call.
            method: request method.
            target: request target in origin form.
            head: header fields without framing and connection fields.
            payload: body.
            deadline_s: monotonic time by which the answer is needed.
            on_end: called once when the exchange has ended, with whether the answer
                was received whole.
            on_informational: called for 1xx answers other than 100.

        Raises:
            NotWrittenError: no connection could be opened.
            RefusedError: the node refused; the request did not run.
            UnknownOutcomeError: the request may have run.
            CallerError: the caller's body broke off.
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
                    ask_first=True,
                    on_informational=on_informational,
                )
        except TimeoutError as error:
            ongoing.abandon()
            raise errors.UnknownOutcomeError(
                reason.Reason.TIMEOUT, f"the node at {address} did not answer before the deadline"
            ) from error
        except http_errors.HttpError as error:
            ongoing.abandon()
            raise _translated(ongoing, connection, error) from error
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
    """Returns the load report of an answer, or None if there is no valid one."""
    value = fields.get(sent, header_names.LOAD)
    if value is None:
        return None
    try:
        return choice.LoadReport.decode(value.decode("latin-1"))
    except ValueError:
        return None


def _translated(
    ongoing: exchange.Exchange,
    connection: client_connection.ClientConnection,
    error: http_errors.HttpError,
) -> errors.NodeError:
    if ongoing.caller_error is not None:
        return errors.CallerError(str(ongoing.caller_error))
    if not connection.wrote:
        return errors.NotWrittenError(reason.Reason.NO_SERVER, str(error))
    return errors.UnknownOutcomeError(reason.Reason.SERVER_FAILED, str(error))


async def _raise_problem(ongoing: exchange.Exchange) -> None:
    """Raises the error that a node's own answer stands for."""
    head = ongoing.answer.fields
    outcome = fields.get(head, header_names.OUTCOME)
    label = (fields.get(head, header_names.REASON) or b"").decode("latin-1")
    why = reason.BY_LABEL.get(label, reason.Reason.SERVER_FAILED)
    report = load_report(head)
    # The problem body is small; taking it whole keeps the connection reusable.
    try:
        whole = await ongoing.answer.body.wait_whole(payloads.SMALL_BODY_BYTES)
        ongoing.answer.body.take()
    except http_errors.HttpError:
        whole = False
    await ongoing.end(whole=whole)
    if outcome == b"refused":
        raise errors.RefusedError(why, "refused by the node beside the server", report)
    raise errors.UnknownOutcomeError(why, "reported by the node beside the server")
