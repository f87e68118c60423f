"""Relays the answer of an exchange to the connection of the caller."""

import asyncio
from collections.abc import Sequence

from laburnumford_node import errors as node_errors
from laburnumford_node import exchange, header_names, reason
from laburnumford_node.http import errors, fields, request, response, server_connection


def caller_head(answer: response.Response) -> list[fields.Field]:
    """Returns the end-to-end header fields of an answer that go to the caller."""
    return fields.forwarded(answer.fields, keep=header_names.KEPT_TOWARDS_CALLERS)


def encode_head(
    answer: response.Response,
    received: request.Request,
    head: Sequence[fields.Field],
    *,
    close: bool,
) -> bytes:
    """Returns the status line and header section for the caller.

    Args:
        answer: answer that is relayed.
        received: request that it answers.
        head: end-to-end header fields for the caller.
        close: announces that the connection closes.
    """
    framed = list(head)
    if answer.content_length is not None and answer.status != 204:
        framed.append((b"content-length", str(answer.content_length).encode()))
    elif answer.chunked and received.version == "1.1":
        framed.append((b"transfer-encoding", b"chunked"))
    if close:
        framed.append((b"connection", b"close"))
    return fields.encode(b"HTTP/1.1 %d %b" % (answer.status, answer.reason), framed)


async def relay(
    ongoing: exchange.Exchange,
    received: request.Request,
    connection: server_connection.ServerConnection,
    head: Sequence[fields.Field],
    deadline_s: float,
) -> None:
    """Relays the answer of `ongoing` to the caller and ends the exchange.

    If the answer ends early, the connection of the caller is reset, so that the caller
    cannot take the answer for a complete one.

    Args:
        ongoing: exchange for which the header section of the answer has arrived.
        received: request of the caller.
        connection: connection of the caller.
        head: end-to-end header fields for the caller.
        deadline_s: time of the event loop in seconds by which the answer must have ended.

    Raises:
        UnknownOutcomeError: the answer ended early, or not before the deadline.
    """
    answer = ongoing.answer
    close = not received.keep_alive or not received.body.received
    if received.version == "1.0":
        close = True
    if close:
        connection.close_after_answer()
    encoded = encode_head(answer, received, head, close=close)
    whole = False
    try:
        if answer.bodyless or (answer.body.received and not answer.chunked):
            connection.write(encoded if answer.bodyless else encoded + answer.body.take())
        else:
            async with asyncio.timeout_at(deadline_s):
                await _stream_answer(answer, received, connection, encoded)
        whole = True
    except TimeoutError as error:
        raise node_errors.UnknownOutcomeError(
            reason.Reason.TIMEOUT, "the answer did not end before the deadline"
        ) from error
    except errors.HttpError as error:
        connection.abort()
        raise node_errors.UnknownOutcomeError(
            reason.Reason.BROKEN_ANSWER, f"the answer broke off: {error}"
        ) from error
    finally:
        if whole:
            await ongoing.end(whole=True)
        else:
            connection.abort()
            ongoing.abandon()


async def _stream_answer(
    answer: response.Response,
    received: request.Request,
    connection: server_connection.ServerConnection,
    encoded: bytes,
) -> None:
    chunked = answer.chunked and received.version == "1.1"
    connection.write(encoded)
    while data := await answer.body.read():
        connection.write(fields.encode_chunk(data) if chunked else data)
        await connection.drain()
    if chunked:
        connection.write(fields.encode_last_chunk(answer.body.trailers))
