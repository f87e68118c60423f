"""Client side of one HTTP/1.1 connection to a backend server or the store."""

import asyncio
import socket
from typing import cast

import httptools

from laburnumford_mesh import clock
from laburnumford_mesh.http import answer as answers
from laburnumford_mesh.http import body_writer, buffer_budget, read_limits, space_wait
from laburnumford_node.http import errors, fields, parsing, read_meter

_BODYLESS_STATUSES = frozenset({204, 304})
_BODYLESS_METHODS = frozenset({b"GET", b"HEAD"})

_RESET_CHECK_DELAY_S = 0.01
"""Delay between the end of the received bytes and the check for a reset. A server that closes its
connection with a part of the request unread sends a FIN, and right after it a reset."""

_DEFAULT_KEEP_ALIVE_TIMEOUT_S = 5.0
"""Assumed for servers that send no Keep-Alive timeout."""

_KEEP_ALIVE_MARGIN_S = 1.0
"""Subtracted from the server's timeout: its timer starts when it sends its last byte, before that
byte is received here."""

_MAX_REQUESTS = 1000
"""Requests on one connection; bounds the memory for their ids."""

_MAX_MISMATCHED_ANSWERS = 4
"""Answers to other requests in one exchange; with more the exchange fails."""


class ServerConnection(asyncio.Protocol):
    """Sends one request at a time and receives complete answers.

    An answer with the id of another request is dropped and the exchange continues, because
    servers may send a second answer to an earlier request. The id does not tell two attempts of one
    request apart, so no id is sent twice on a connection. The connection is reusable only
    after an answer that has its declared length and is followed by no further bytes. An exchange
    in which the server sends more than the limits allow fails, and the connection is closed.

    Args:
        limits: limits on the bytes of an exchange that states none of its own.
        budget: limit on the bodies that all connections of the owner buffer.
        id_field: name of the header field that matches an answer to its request, or None.

    Attributes:
        idle_since_s: time of `clock.now` of the last complete answer, or of the connect.
        request_count: number of requests sent.
    """

    def __init__(
        self,
        *,
        limits: read_limits.ReadLimits,
        budget: buffer_budget.BufferBudget,
        id_field: bytes | None = None,
    ) -> None:
        self._default_limits = limits
        self._limits = limits
        self._budget = budget
        self._id_field = id_field
        self._meter = read_meter.ReadMeter()
        self._writer = body_writer.BodyWriter()
        self._space_wait = space_wait.SpaceWait(budget=budget, on_timeout=self._fail_without_space)
        self._reserved_bytes = 0
        self._field_count = 0
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[answers.Answer] | None = None
        self._expected_id: bytes | None = None
        self._sent_ids: set[bytes] = set()
        self._method = b""
        self._fields: list[fields.Field] = []
        self._reason = b""
        self._body = bytearray()
        self._in_trailers = False
        self._in_answer = False
        self._ends_at_eof = False
        self._early = False
        self._reset_check: asyncio.TimerHandle | None = None
        self._not_reusable = False
        self._lost = False
        self._eof = False
        self._mismatched_answers = 0
        self._keep_alive_timeout_s = _DEFAULT_KEEP_ALIVE_TIMEOUT_S
        self.idle_since_s = clock.now()
        self.request_count = 0

    # asyncio callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._waiter is None or self._waiter.done():
            # Unsolicited bytes would be parsed as part of the next answer.
            self._discard()
            return
        self._meter.observe_received(len(data))
        try:
            parsing.feed_answer(self._parser, data)
        except errors.BadMessageError as error:
            self._fail(error)
            return
        if not self._meter.is_framing_within(self._limits.framing_bytes):
            self._fail(
                errors.BadMessageError(
                    502,
                    f"answer has more than {self._limits.framing_bytes} bytes of header fields, "
                    "chunk sizes, trailers and informational answers",
                )
            )

    def eof_received(self) -> bool:
        """Completes an answer that is delimited by the end of the connection.

        After a request with a body the connection stays open for a moment, because the server
        may have ended it without reading the body.
        """
        self._eof = True
        if not self._ends_at_eof or not self._in_answer:
            return False
        self._not_reusable = True
        if self._method in _BODYLESS_METHODS:
            self._deliver()
            return False
        self._reset_check = asyncio.get_running_loop().call_later(
            _RESET_CHECK_DELAY_S, self._complete_at_eof
        )
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the current exchange."""
        self._lost = True
        if self._reset_check is not None:
            self._reset_check.cancel()
        self._writer.stop()
        self._fail(
            errors.TruncatedError(f"connection closed before the answer was complete: {exc}")
        )

    def pause_writing(self) -> None:
        """Makes the rest of the body wait while the server is slow."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Continues to write the body."""
        self._writer.resume()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Resets the state of the parsed answer."""
        if self._waiter is None or self._waiter.done():
            raise errors.BadMessageError(502, "unexpected bytes after the end of the answer")
        self._fields = []
        self._reason = b""
        self._release_body()
        self._in_trailers = False
        self._in_answer = True
        self._ends_at_eof = False

    def on_status(self, status: bytes) -> None:
        """Appends a part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field; trailer fields are counted and dropped."""
        self._field_count += 1
        if self._field_count > self._limits.header_fields:
            raise errors.BadMessageError(
                502, f"exchange has more than {self._limits.header_fields} header fields"
            )
        if not self._in_trailers:
            self._fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determines how the answer is delimited."""
        self._in_trailers = True
        status = self._parser.get_status_code()
        if not parsing.MIN_STATUS <= status <= parsing.MAX_STATUS:
            raise errors.BadMessageError(502, parsing.invalid_status(status))
        value_by_name = dict(self._fields)
        self._early = self._has_unwritten_bytes()
        self._ends_at_eof = (
            status >= 200
            and status not in _BODYLESS_STATUSES
            and not {b"content-length", b"transfer-encoding"} & value_by_name.keys()
        )
        if self._method == b"HEAD":
            # llhttp has no setting for an answer to HEAD, which has no body.
            self._not_reusable = True
            self._deliver()
            return
        if status not in _BODYLESS_STATUSES:
            self._check_body_size(int(value_by_name.get(b"content-length", b"0")))

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body."""
        self._check_body_size(len(data))
        size = self._reserved_bytes + len(data)
        if not self._budget.reserve(len(data), body_bytes=size, answer=True):
            # These bytes are read already; no more are, until others have left.
            self._budget.take(len(data))
            if self._transport is not None:
                self._space_wait.start(self._transport, size)
        self._reserved_bytes += len(data)
        self._meter.observe_body(len(data))
        self._body += data

    def on_message_complete(self) -> None:
        """Delivers a final answer; informational answers (1xx) are skipped."""
        if self._parser.get_status_code() < 200:
            self._in_answer = False
            return
        if not self._parser.should_keep_alive():
            self._not_reusable = True
        self._deliver()

    # interface of the connection for its owner

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            not self._lost
            and not self._not_reusable
            and self.request_count < _MAX_REQUESTS
            and not self._eof
            and self._writer.finished
            and self._transport is not None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    def is_fresh(self, now: float, max_idle_s: float) -> bool:
        """Returns whether an idle connection is young enough to send a request on.

        Args:
            now: time of `clock.now`.
            max_idle_s: longest idle time that the caller accepts; the keep-alive timeout of the
                server applies as well.
        """
        allowed_s = min(max_idle_s, max(self._keep_alive_timeout_s - _KEEP_ALIVE_MARGIN_S, 0.0))
        return now - self.idle_since_s <= allowed_s

    def has_sent(self, request_id: bytes | None) -> bool:
        """Returns whether a request with an id was sent, whose answer may be repeated."""
        return request_id in self._sent_ids

    async def send(
        self,
        method: bytes,
        head: bytes,
        expected_id: bytes | None = None,
        body: bytes = b"",
        limits: read_limits.ReadLimits | None = None,
    ) -> answers.Answer:
        """Sends a request and returns the complete answer.

        The answer may come before the body is written completely. The connection is then closed.

        Args:
            method: request method.
            head: encoded header section of the request.
            expected_id: request id that the answer must carry; None for a request without an id,
                whose answer must carry none.
            body: body of the request.
            limits: limits on the bytes of this exchange, those of the connection if None.

        Raises:
            ConnectionClosedError: the connection closed before the request was written.
            HttpError: the connection closed later, or the answer is invalid or too large.
        """
        if self._transport is None or self._lost or self._transport.is_closing():
            raise errors.ConnectionClosedError("connection closed before the request was written")
        self._limits = limits or self._default_limits
        self._method = method
        self._expected_id = expected_id
        self._in_answer = False
        self._mismatched_answers = 0
        self._field_count = 0
        self._meter.reset()
        self._waiter = asyncio.get_running_loop().create_future()
        self.request_count += 1
        if expected_id is not None:
            self._sent_ids.add(expected_id)
        self._writer.start(self._transport, head, body)
        return await self._waiter

    def close(self) -> None:
        """Closes the connection at once, which fails the current exchange."""
        self._writer.stop()
        if self._transport is not None:
            self._transport.abort()

    # internals

    def _deliver(self) -> None:
        waiter = self._waiter
        self._in_answer = False
        if waiter is None or waiter.done():
            self._discard()
            return
        if not self._is_expected():
            self._mismatched_answers += 1
            if self._mismatched_answers > _MAX_MISMATCHED_ANSWERS or self._not_reusable:
                self._fail(
                    errors.BadMessageError(
                        502,
                        f"received {self._mismatched_answers} answers to other requests, "
                        f"none to {self._expected_id!r}",
                    )
                )
            return
        self.idle_since_s = clock.now()
        self._read_keep_alive()
        waiter.set_result(
            answers.Answer(
                status=self._parser.get_status_code(),
                reason=self._reason,
                fields=self._fields,
                body=self._take_body(),
            )
        )
        self._release_body()

    def _complete_at_eof(self) -> None:
        """Delivers an answer that the end of the connection delimits, if the request was read.

        A server that ends the connection while it should still read the request has given up, and
        its answer may be a part.
        """
        if self._early or self._has_unwritten_bytes() or self._has_socket_error():
            self._fail(
                errors.TruncatedError("connection ended before the server had read the request")
            )
            return
        self._deliver()

    def _has_unwritten_bytes(self) -> bool:
        if not self._writer.finished:
            return True
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def _has_socket_error(self) -> bool:
        """Returns whether the connection was reset after its end."""
        if self._transport is None or self._transport.is_closing():
            return True
        socket_ = self._transport.get_extra_info("socket")
        return bool(socket_.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def _take_body(self) -> bytes:
        """Returns the body; the buffer of a large one itself, since a copy doubles its memory."""
        if len(self._body) <= buffer_budget.SMALL_BODY_BYTES:
            return bytes(self._body)
        body, self._body = self._body, bytearray()
        return cast(bytes, body)

    def _check_body_size(self, more_bytes: int) -> None:
        size = self._meter.body_bytes + more_bytes
        if size > self._limits.body_bytes:
            raise errors.BadMessageError(
                502, f"answer has {size} bytes or more; allowed: {self._limits.body_bytes}"
            )

    def _fail_without_space(self) -> None:
        self._fail(
            errors.BadMessageError(
                502, f"answers exceed the buffer of {self._budget.max_bytes} bytes"
            )
        )

    def _release_body(self) -> None:
        self._space_wait.stop()
        self._body.clear()
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _is_expected(self) -> bool:
        if self._id_field is None:
            return True
        return fields.get(self._fields, self._id_field) == self._expected_id

    def _read_keep_alive(self) -> None:
        value = fields.get(self._fields, b"keep-alive")
        if value is None:
            return
        for option in value.split(b","):
            name, _, seconds = option.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self._keep_alive_timeout_s = float(seconds)

    def _discard(self) -> None:
        self._not_reusable = True
        self.close()

    def _fail(self, error: Exception) -> None:
        self._discard()
        self._release_body()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)
            # Marks the exception as retrieved; a cancelled exchange does not await it.
            self._waiter.exception()
