"""Connection of a caller: pipelined requests run concurrently, answers are sent in order."""

import asyncio
import collections
import io
import itertools
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import cast

import httptools

from laburnumford_mesh import clock
from laburnumford_mesh import limits as limits_module
from laburnumford_mesh.http import answer as answers
from laburnumford_mesh.http import (
    answer_writer,
    caller_memory,
    framing,
    pending_answer,
    request,
)
from laburnumford_node.http import errors, fields, parsing, read_meter, sockets

Handler = Callable[[request.Request], Awaitable[answers.Answer]]
"""Answers one request. It is cancelled when the caller disconnects."""

_LOG = logging.getLogger("laburnumford.mesh")
_MAX_PIPELINED_REQUESTS = 16
"""Requests in flight on one connection; reading pauses at this number."""

_MAX_HEADER_FIELDS = 256
"""Bounds the cost of many short fields, which the limit on bytes does not."""

_LINGER_S = 1.0
"""Delay of the close after the last answer. Closing while request bytes are unread resets the
connection, and the caller may lose the answer."""

_MIN_BODY_BYTES_PER_S = 10_000
"""Rate below which a body counts as too slow once the idle timeout has passed."""

_CONNECTION_NUMBERS = itertools.count(1)
_REQUEST_BYTES = 16 * 1024
"""Reserved for each request from its first byte until its answer: its header section, which has at
most this size by the published limits, and the objects that serve it."""

_MAX_UNSENT_BYTES = 128 * 1024
"""Bytes that the system takes before it can send them. Otherwise it takes up to 4 MB for each caller
that does not read; the fastest link passes 43 kB in a round trip between zones."""

_MAX_JOINED_BYTES = 64 * 1024
"""Largest body that is copied behind its header section, so that both are sent together."""

_RETRY_AFTER = (b"retry-after", b"1.000")
"""Seconds after which readers that hold memory without progress have been closed."""

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_BODYLESS_STATUSES = frozenset({204, 304})


class EdgeConnection(asyncio.Protocol):
    """Parses requests, starts a handler for each and writes the answers in request order.

    Args:
        handler: answers a request.
        limits: returns the current limits.
        on_closed: called once when the connection is closed.
        memory: reservations of the requests and answers of all connections.

    Attributes:
        last_activity_s: time of `clock.now` when bytes were last received or written.
        header_started_s: time of `clock.now` when the header section that is being received
            began; None outside a header section.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], limits_module.Limits],
        on_closed: Callable[["EdgeConnection"], None],
        memory: caller_memory.CallerMemory,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._on_closed = on_closed
        self._memory = memory
        self._writer = answer_writer.AnswerWriter(
            release=memory.release, on_empty=self._handle_writer_empty
        )
        self._meter = read_meter.ReadMeter()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: collections.deque[pending_answer.PendingAnswer] = collections.deque()
        self._discarding = False
        self._receiving = False
        self._target = b""
        self._fields: list[fields.Field] = []
        self._body = io.BytesIO()
        self._body_bytes = 0
        self._request_bytes = 0
        self._header_section_bytes = 0
        self._in_header_section = False
        self._reading_paused_s: float | None = None
        self._draining = False
        self._closing_after_write = False
        self._ended = False
        self._remote_ip = ""
        self._number = next(_CONNECTION_NUMBERS)
        self.last_activity_s = clock.now()
        self.header_started_s: float | None = None
        self._body_started_s = 0.0

    # asyncio callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and the address of the caller."""
        self._transport = cast(asyncio.Transport, transport)
        self._remote_ip = sockets.peer_ip(transport)
        self._writer.attach(self._transport)
        sockets.limit_unsent(self._transport, _MAX_UNSENT_BYTES)

    def pause_writing(self) -> None:
        """Stops writing until the write buffer of the transport is empty."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Continues to write."""
        self._writer.resume()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._discarding:
            return
        self.last_activity_s = clock.now()
        if self._in_header_section or not self._receiving:
            self._header_section_bytes += len(data)
            if self.header_started_s is None:
                self.header_started_s = self.last_activity_s
        else:
            self._meter.observe_received(len(data))
        try:
            parsing.feed_request(self._parser, data)
        except errors.BadMessageError as error:
            self._reject(error)
        else:
            if (
                self._in_header_section
                and self._header_section_bytes > self._limits().header_bytes
            ):
                self._reject(
                    errors.BadMessageError(
                        431, f"header section is too large: {self._header_section_bytes} bytes"
                    )
                )
            elif self._is_in_body() and not self._meter.is_framing_within(
                self._limits().header_bytes
            ):
                self._reject(errors.BadMessageError(431, "chunk sizes and trailers are too large"))

    def eof_received(self) -> bool:
        """Closes the connection: a caller that half-closes it is treated as disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancels the handlers of all requests in flight."""
        self._end()
        self._on_closed(self)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Resets the state of the parsed request."""
        self._target = b""
        self._fields = []
        self._in_header_section = True
        self._receiving = True
        self._reserve_request(_REQUEST_BYTES)

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field; trailer fields are dropped."""
        if not self._in_header_section:
            return
        if len(self._fields) >= _MAX_HEADER_FIELDS:
            raise errors.BadMessageError(
                431, f"request has more than {_MAX_HEADER_FIELDS} header fields"
            )
        self._fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Validates the header section and sends 100 Continue if the caller expects it."""
        self._in_header_section = False
        self._header_section_bytes = 0
        self.header_started_s = None
        self._body_started_s = clock.now()
        self._meter.reset()
        size = len(self._target) + sum(len(n) + len(v) + 4 for n, v in self._fields)
        if size > self._limits().header_bytes:
            raise errors.BadMessageError(431, f"header section is too large: {size} bytes")
        values = dict(reversed(self._fields))
        version = self._parser.get_http_version()
        framing.check(version, self._parser.get_method(), self._fields, values)
        length = values.get(b"content-length")
        if length is not None and int(length) > self._limits().body_bytes:
            raise errors.BadMessageError(413, f"body is too large: content-length {length!r}")
        if (
            values.get(b"expect", b"").lower() == b"100-continue"
            and not self._pending
            and self._transport is not None
        ):
            self._writer.write(_CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body."""
        if self._body_bytes + len(data) > self._limits().body_bytes:
            raise errors.BadMessageError(413, "body exceeds the size limit")
        self._reserve_request(len(data), body_bytes=self._body_bytes + len(data))
        self._meter.observe_body(len(data))
        self._body_bytes += len(data)
        self._body.write(data)

    def on_message_complete(self) -> None:
        """Starts the handler of the complete request."""
        self._receiving = False
        # The buffer returns its contents without a copy if it is not used again.
        body = self._body.getvalue()
        self._body = io.BytesIO()
        self._body_bytes = 0
        received = request.Request(
            method=self._parser.get_method(),
            target=self._target,
            fields=self._fields,
            value_by_name=dict(reversed(self._fields)),
            body=body,
            keep_alive=self._parser.should_keep_alive(),
            received_s=clock.now(),
            remote_ip=self._remote_ip,
            connection=self._number,
        )
        pending = pending_answer.PendingAnswer(
            keep_alive=received.keep_alive,
            is_head=received.method == b"HEAD",
            request_bytes=self._request_bytes,
        )
        self._request_bytes = 0
        self._pending.append(pending)
        if not received.keep_alive:
            # Requests after one that closes the connection are not processed.
            self._discarding = True
        pending.task = asyncio.get_running_loop().create_task(self._serve(pending, received))
        # A task that is cancelled before its first step runs nothing of the coroutine.
        pending.task.add_done_callback(lambda _: self._release_request(pending))
        self._update_reading()

    # interface of the connection for its owner

    @property
    def idle(self) -> bool:
        """Whether no request is being received or answered, and no answer is unsent."""
        return not self._pending and not self._receiving and self._writer.empty

    @property
    def in_flight_count(self) -> int:
        """Number of requests that are not answered yet; unsent answers count as one."""
        return len(self._pending) + (not self._writer.empty)

    @property
    def reading_paused(self) -> bool:
        """Whether reading waits for answers or for the caller to read them."""
        return self._reading_paused_s is not None

    @property
    def held_answer_bytes(self) -> int:
        """Bytes that are reserved for answers of this connection."""
        return self._writer.reserved_bytes + sum(each.answer_bytes for each in self._pending)

    def observe_progress(self, now: float) -> None:
        """Checks whether the caller has read something of an unsent answer."""
        self._writer.observe_progress(now)

    def stalled_s(self, now: float) -> float:
        """Returns for how many seconds the caller has read nothing of an unsent answer."""
        return self._writer.stalled_s(now)

    def close_if_disconnected(self) -> None:
        """Closes the connection if the caller has left while reading is paused.

        An unsent answer needs no check: writing it fails.
        """
        if self._transport is None or not self.reading_paused or not self._writer.empty:
            return
        if sockets.is_ended_by_peer(self._transport):
            self._transport.abort()

    def close_slow_reader(self) -> None:
        """Resets the connection and releases what is reserved for its answers."""
        self._end()
        if self._transport is not None:
            sockets.discard_on_close(self._transport)
            self._transport.abort()

    def begin_drain(self) -> None:
        """Makes the connection close as soon as all received requests are answered.

        The system then takes more bytes, which it still sends after the end of the process.
        """
        if not self._draining and self._transport is not None:
            sockets.limit_unsent(self._transport, 0)
        self._draining = True

    def has_unread_bytes(self) -> bool:
        """Returns whether the socket holds bytes that are not read yet."""
        return sockets.has_unread_bytes(self._transport)

    def close(self) -> None:
        """Closes the connection after the buffered bytes are sent."""
        if self._transport is not None:
            self._transport.close()

    def reject_slow_header(self) -> None:
        """Rejects a header section that exceeds its timeout with 408."""
        self._reject(
            errors.BadMessageError(408, "header section was not complete within its timeout")
        )

    def is_body_too_slow(self, now: float) -> bool:
        """Returns whether the body that is being received takes longer than it may.

        A body may take the idle timeout, and a further second for each `_MIN_BODY_BYTES_PER_S`.
        """
        if not self._is_in_body():
            return False
        allowed_s = self._limits().idle_timeout_s + self._body_bytes / _MIN_BODY_BYTES_PER_S
        return now - self._body_started_s > allowed_s

    def reject_slow_body(self) -> None:
        """Rejects a body that is received too slowly with 408."""
        self._reject(errors.BadMessageError(408, "body was not complete within its timeout"))

    # internals

    async def _serve(
        self, pending: pending_answer.PendingAnswer, received: request.Request
    ) -> None:
        try:
            ready = await self._handler(received)
        except Exception:
            # Without an answer, all later answers of the connection would be blocked.
            _LOG.exception("edge: handler of a request failed")
            ready = _local_answer(502, b"Bad Gateway")
        if self._ended:
            return
        self._release_request(pending)
        reserved_bytes = self._memory.reserve_answer(_answer_bytes(ready))
        if reserved_bytes is None:
            ready = _local_answer(502, b"Bad Gateway")
            reserved_bytes = 0
        if self._ended:
            # This connection was closed to make space.
            self._memory.release(reserved_bytes)
            return
        pending.answer_bytes = reserved_bytes
        pending.answer = ready
        self._flush()

    def _flush(self) -> None:
        while self._pending and (ready := self._pending[0].answer) is not None:
            pending = self._pending.popleft()
            last = not self._pending and not self._receiving
            close = ready.close or not pending.keep_alive or (self._draining and last)
            self._write(ready, pending, close=close)
            if close:
                self._close_after_write()
                return
        self._update_reading()

    def _write(
        self, ready: answers.Answer, pending: pending_answer.PendingAnswer, *, close: bool
    ) -> None:
        if self._transport is None or self._ended:
            self._memory.release(pending.answer_bytes)
            return
        self.last_activity_s = clock.now()
        framed = list(ready.fields)
        if ready.status not in _BODYLESS_STATUSES:
            framed.append((b"content-length", str(len(ready.body)).encode()))
        if close:
            framed.append((b"connection", b"close"))
        head = fields.encode(b"HTTP/1.1 %d %b" % (ready.status, ready.reason), framed)
        bodyless = pending.is_head or ready.status in _BODYLESS_STATUSES
        body = b"" if bodyless else ready.body
        if len(body) <= _MAX_JOINED_BYTES:
            self._writer.write(head + body, pending.answer_bytes)
        else:
            self._writer.write(head)
            self._writer.write(body, pending.answer_bytes)

    def _close_after_write(self) -> None:
        """Closes after the last written answer without resetting the connection."""
        if self._transport is None or self._transport.is_closing():
            return
        self._discarding = True
        self._drop_pending()
        self._update_reading()
        self._closing_after_write = True
        if self._writer.empty:
            self._end_writing(self._transport)

    @staticmethod
    def _end_writing(transport: asyncio.Transport) -> None:
        if transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        asyncio.get_running_loop().call_later(_LINGER_S, transport.close)

    def _handle_writer_empty(self) -> None:
        self.last_activity_s = clock.now()
        if self._closing_after_write and self._transport is not None:
            self._end_writing(self._transport)
        else:
            self._update_reading()

    def _is_in_body(self) -> bool:
        return self._receiving and not self._in_header_section

    def _reject(self, error: errors.BadMessageError) -> None:
        if self._closing_after_write:
            return
        self._discarding = True
        self.header_started_s = None
        self._receiving = False
        self._discard_body()
        pending = pending_answer.PendingAnswer(keep_alive=False, is_head=False)
        extra_fields = (_RETRY_AFTER,) if error.status == 503 else ()
        pending.answer = _local_answer(error.status, b"Rejected", extra_fields)
        self._pending.append(pending)
        self._flush()

    def _reserve_request(self, size: int, body_bytes: int = 0) -> None:
        if not self._memory.reserve_request(size, body_bytes):
            raise errors.BadMessageError(503, "request buffer is full: nothing can be stored")
        self._request_bytes += size

    def _release_request(self, pending: pending_answer.PendingAnswer) -> None:
        self._memory.release(pending.request_bytes)
        pending.request_bytes = 0

    def _discard_body(self) -> None:
        self._memory.release(self._request_bytes)
        self._request_bytes = 0
        self._body = io.BytesIO()
        self._body_bytes = 0

    def _drop_pending(self) -> None:
        """Cancels the handlers of all requests in flight and drops answers that wait."""
        for pending in self._pending:
            if pending.task is not None:
                pending.task.cancel()
            self._memory.release(pending.answer_bytes)
        self._pending.clear()

    def _end(self) -> None:
        self._ended = True
        self._discarding = True
        self._receiving = False
        self._discard_body()
        self._drop_pending()
        self._writer.clear()

    def _update_reading(self) -> None:
        """Pauses reading from a caller that has to read answers first, or resumes it.

        What the caller sends after the last request of the connection is read and discarded.
        """
        if self._transport is None or self._transport.is_closing():
            return
        pause = not self._discarding and (
            len(self._pending) >= _MAX_PIPELINED_REQUESTS or not self._writer.empty
        )
        if pause and self._reading_paused_s is None:
            self._reading_paused_s = clock.now()
            self._transport.pause_reading()
        elif not pause and self._reading_paused_s is not None:
            self._extend_timeouts(clock.now() - self._reading_paused_s)
            self._reading_paused_s = None
            self._transport.resume_reading()

    def _extend_timeouts(self, paused_s: float) -> None:
        """Excludes the time of a pause from the timeouts of the request that is being received."""
        self._body_started_s += paused_s
        if self.header_started_s is not None:
            self.header_started_s += paused_s


def _answer_bytes(ready: answers.Answer) -> int:
    """Returns the size of the body and of the header fields of an answer."""
    return len(ready.body) + sum(len(name) + len(value) + 4 for name, value in ready.fields)


def _local_answer(
    status: int, reason: bytes, extra_fields: Sequence[fields.Field] = ()
) -> answers.Answer:
    """Returns an answer without a body after which the connection closes."""
    return answers.Answer(status=status, reason=reason, fields=extra_fields, body=b"", close=True)
