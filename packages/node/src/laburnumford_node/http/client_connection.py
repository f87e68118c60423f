"""One outgoing connection, to another node or to a backend server."""

import asyncio
from collections.abc import Callable, Sequence

import httptools

from laburnumford_node.http import (
    _connection,
    _read_buffer,
    body,
    buffer_limit,
    errors,
    fields,
    parsing,
    read_meter,
    response,
)

_BODYLESS_STATUSES = frozenset({204, 304})
_MAX_FRAMING_BYTES = 64 * 1024
"""Bytes of one exchange that belong to no body: status lines, header fields, informational answers,
chunk sizes and trailers. The parser accumulates each of them without a limit."""

InformationalCallback = Callable[[int, Sequence[fields.Field]], None]
"""Gets the status and the header fields of a 1xx answer other than 100."""


class ClientConnection(_connection.Connection):
    """Sends requests one after the other and parses their answers.

    The connection never resends a request. It is reusable only if the last answer ended as its
    framing declares and every received byte belonged to an answer.

    Args:
        buffers: limit on the buffered bytes of the process.
    """

    def __init__(self, *, buffers: buffer_limit.BufferLimit) -> None:
        super().__init__()
        self._buffers = buffers
        self._parser = httptools.HttpResponseParser(self)
        self._meter = read_meter.ReadMeter()
        self._head_waiter: asyncio.Future[response.Response] | None = None
        self._continue_waiter: asyncio.Future[bool] | None = None
        self._method = b""
        self._body: body.Body | None = None
        self._active = False
        self._answer_ended = True
        self._request_ended = True
        self._not_reusable = False
        self._informational = False
        self._status = 0
        self._reason = b""
        self.on_informational: InformationalCallback | None = None
        self.has_written = False
        self.idle_since_s = 0.0
        self.nonce = b""
        self.peer_name = b""
        self.hello_at_s = 0.0

    # asyncio callbacks

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received bytes."""
        if not self._active or self._answer_ended:
            # Unsolicited bytes could be taken for the answer to the next request.
            self._not_reusable = True
            self.close()
            return
        self._meter.observe_received(nbytes)
        try:
            parsing.feed_answer(self._parser, _read_buffer.READ_BUFFER[:nbytes])
        except errors.BadMessageError as error:
            self._fail(error)
            return
        if not self._meter.is_framing_within(_MAX_FRAMING_BYTES):
            self._fail(
                errors.BadMessageError(
                    502,
                    f"answer has more than {_MAX_FRAMING_BYTES} bytes of header fields, "
                    "chunk sizes, trailers and informational answers",
                )
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the exchange in progress."""
        self._lost = True
        self._fail(errors.TruncatedError(f"connection closed before the answer ended: {exc}"))
        self._wake_drain()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Resets the fields of the answer being parsed."""
        if self._answer_ended:
            raise errors.BadMessageError(502, "bytes after the end of the answer")
        self._fields = []
        self._trailers = []
        self._reason = b""
        self._body = None

    def on_status(self, status: bytes) -> None:
        """Collects the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header field, or a trailer field after the body."""
        self._collect_field(name, value, trailer=self._body is not None, status=502)

    def on_headers_complete(self) -> None:
        """Passes the answer to the waiting task."""
        status = self._parser.get_status_code()
        if not parsing.MIN_STATUS <= status <= parsing.MAX_STATUS:
            raise errors.BadMessageError(502, parsing.invalid_status(status))
        self._informational = status < 200
        if self._informational:
            self._handle_informational(status)
            return
        answer = self._build_response(status)
        self._body = answer.body
        if self._continue_waiter is not None and not self._continue_waiter.done():
            self._continue_waiter.set_result(False)
        if self._head_waiter is not None and not self._head_waiter.done():
            self._head_waiter.set_result(answer)
        if self._method == b"HEAD" and answer.content_length != 0:
            # llhttp cannot be told that this answer has no body. Its parser would read the next
            # answer as that body, so the connection is not reused.
            self._not_reusable = True
            self._end_answer()

    def on_body(self, data: bytes) -> None:
        """Adds received bytes to the body of the answer."""
        self._meter.observe_body(len(data))
        if self._body is not None and not self._answer_ended:
            self._body.feed(data)

    def on_message_complete(self) -> None:
        """Ends the answer."""
        if not self._informational and not self._answer_ended:
            self._end_answer()

    # used by exchanges

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            not self._lost
            and not self._not_reusable
            and self._answer_ended
            and self._request_ended
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def forbid_reuse(self) -> None:
        """Makes the connection close at the end of the exchange."""
        self._not_reusable = True

    def begin_exchange(self, method: bytes) -> None:
        """Starts an exchange.

        Args:
            method: request method, which decides whether the answer has a body.
        """
        self._method = method
        self._meter.reset()
        self._active = True
        self._answer_ended = False
        self._request_ended = False
        self._head_waiter = asyncio.get_running_loop().create_future()
        self._continue_waiter = None
        self.on_informational = None
        self.has_written = False

    def write(self, data: bytes) -> None:
        """Writes bytes of the request.

        Raises:
            ConnectionLostError: the connection has ended.
        """
        if self._transport is None or self._lost or self._transport.is_closing():
            raise errors.ConnectionLostError("connection closed before the request was written")
        self.has_written = True
        self._transport.write(data)

    def end_request(self) -> None:
        """Marks the request as completely written."""
        self._request_ended = True

    async def drain(self) -> None:
        """Waits until the send buffer is below its high-water mark.

        Raises:
            ConnectionLostError: the connection has ended.
        """
        await super().drain()
        if self._lost:
            raise errors.ConnectionLostError("connection closed while the request was written")

    async def answer(self) -> response.Response:
        """Waits for the header section of the final answer.

        Raises:
            TruncatedError: the connection ended first.
            BadMessageError: the answer is invalid.
        """
        if self._head_waiter is None:
            raise errors.ConnectionLostError("no request was sent")
        return await self._head_waiter

    def answer_arrived(self) -> bool:
        """Returns whether the header section of the final answer has arrived."""
        return self._head_waiter is not None and self._head_waiter.done()

    async def wait_continue(self) -> bool:
        """Waits for 100 Continue or the final answer; returns whether to send the body."""
        if self.answer_arrived():
            return False
        self._continue_waiter = asyncio.get_running_loop().create_future()
        return await self._continue_waiter

    def end_exchange(self) -> None:
        """Discards the unread rest of the answer."""
        if self._body is not None:
            self._body.discard()

    def close(self) -> None:
        """Closes the connection at once, which fails an exchange in progress."""
        if self._transport is not None:
            self._transport.abort()

    # internals

    def _end_answer(self) -> None:
        self._answer_ended = True
        if self._body is not None:
            self._body.finish(self._trailers)
        if not self._parser.should_keep_alive():
            self._not_reusable = True

    def _handle_informational(self, status: int) -> None:
        if status == 100:
            if self._continue_waiter is not None and not self._continue_waiter.done():
                self._continue_waiter.set_result(True)
        elif self.on_informational is not None:
            self.on_informational(status, self._fields)

    def _build_response(self, status: int) -> response.Response:
        coding = fields.get(self._fields, b"transfer-encoding")
        length = fields.get(self._fields, b"content-length")
        if coding is not None and coding.strip().lower() != b"chunked":
            raise errors.BadMessageError(502, f"transfer coding {coding!r} is not supported")
        bodyless = status in _BODYLESS_STATUSES or self._method == b"HEAD"
        if not bodyless and coding is None and length is None:
            raise errors.BadMessageError(502, "answer without Content-Length or chunked coding")
        return response.Response(
            status=status,
            reason=self._reason,
            fields=self._fields,
            content_length=int(length) if length is not None else None,
            chunked=coding is not None,
            bodyless=bodyless,
            body=body.Body(self, self._buffers),
        )

    def _fail(self, error: Exception) -> None:
        self._not_reusable = True
        if self._continue_waiter is not None and not self._continue_waiter.done():
            self._continue_waiter.set_result(False)
        if self._head_waiter is not None and not self._head_waiter.done():
            self._head_waiter.set_exception(error)
            # A cancelled exchange never awaits the answer; this marks the exception as retrieved.
            self._head_waiter.exception()
        if self._body is not None:
            self._body.fail(error)
        if self._transport is not None and not self._lost:
            self._transport.abort()
