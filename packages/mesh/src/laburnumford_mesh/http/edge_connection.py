"""Connection of a caller: pipelined requests run concurrently, answers are sent in order."""

import asyncio
import collections
import dataclasses
import logging
from collections.abc import Awaitable, Callable
from typing import cast

import httptools

from laburnumford_mesh import clock
from laburnumford_mesh import limits as limits_module
from laburnumford_mesh.http import answer as answers
from laburnumford_mesh.http import buffer_budget, framing, read_meter, request
from laburnumford_node.http import errors, fields, parsing, sockets

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

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_BODYLESS_STATUSES = frozenset({204, 304})


@dataclasses.dataclass(slots=True)
class _PendingAnswer:
    """Holds an answer until all earlier answers of the connection are sent."""

    keep_alive: bool
    is_head: bool
    task: asyncio.Task[None] | None = None
    answer: answers.Answer | None = None


class EdgeConnection(asyncio.Protocol):
    """Parses requests, starts a handler for each and writes the answers in request order.

    Args:
        handler: answers a request.
        limits: returns the current limits.
        on_closed: called once when the connection is closed.
        budget: limit on the request bodies that all connections buffer.

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
        budget: buffer_budget.BufferBudget,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._on_closed = on_closed
        self._budget = budget
        self._meter = read_meter.ReadMeter()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: collections.deque[_PendingAnswer] = collections.deque()
        self._discarding = False
        self._receiving = False
        self._target = b""
        self._fields: list[fields.Field] = []
        self._body = bytearray()
        self._header_section_bytes = 0
        self._in_header_section = False
        self._reading_paused = False
        self._draining = False
        self._ended = False
        self._remote_ip = ""
        self.last_activity_s = clock.now()
        self.header_started_s: float | None = None
        self._body_started_s = 0.0

    # asyncio callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and the address of the caller."""
        self._transport = cast(asyncio.Transport, transport)
        self._remote_ip = sockets.peer_ip(transport)

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
        self._ended = True
        self._discard_body()
        for pending in self._pending:
            if pending.task is not None:
                pending.task.cancel()
        self._pending.clear()
        self._on_closed(self)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Resets the state of the parsed request."""
        self._target = b""
        self._fields = []
        self._in_header_section = True
        self._receiving = True

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
            self._transport.write(_CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body."""
        if len(self._body) + len(data) > self._limits().body_bytes:
            raise errors.BadMessageError(413, "body exceeds the size limit")
        if not self._budget.reserve(len(data)):
            raise errors.BadMessageError(503, "request buffer is full: the body cannot be stored")
        self._meter.observe_body(len(data))
        self._body += data

    def on_message_complete(self) -> None:
        """Starts the handler of the complete request."""
        self._receiving = False
        body = bytes(self._body)
        self._body.clear()
        received = request.Request(
            method=self._parser.get_method(),
            target=self._target,
            fields=self._fields,
            value_by_name=dict(reversed(self._fields)),
            body=body,
            keep_alive=self._parser.should_keep_alive(),
            received_s=clock.now(),
            remote_ip=self._remote_ip,
        )
        pending = _PendingAnswer(
            keep_alive=received.keep_alive, is_head=received.method == b"HEAD"
        )
        self._pending.append(pending)
        if not received.keep_alive:
            # Requests after one that closes the connection are not processed.
            self._discarding = True
        pending.task = asyncio.get_running_loop().create_task(self._serve(pending, received))
        if len(self._pending) >= _MAX_PIPELINED_REQUESTS:
            self._pause_reading()

    # interface of the connection for its owner

    @property
    def idle(self) -> bool:
        """Whether no request is being received or answered."""
        return not self._pending and not self._receiving

    @property
    def in_flight_count(self) -> int:
        """Number of requests whose answer is not sent yet."""
        return len(self._pending)

    def begin_drain(self) -> None:
        """Makes the connection close as soon as all received requests are answered."""
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
        allowed_s = self._limits().idle_timeout_s + len(self._body) / _MIN_BODY_BYTES_PER_S
        return now - self._body_started_s > allowed_s

    def reject_slow_body(self) -> None:
        """Rejects a body that is received too slowly with 408."""
        self._reject(errors.BadMessageError(408, "body was not complete within its timeout"))

    # internals

    async def _serve(self, pending: _PendingAnswer, received: request.Request) -> None:
        try:
            pending.answer = await self._handler(received)
        except Exception:
            # Without an answer, all later answers of the connection would be blocked.
            _LOG.exception("edge: handler of a request failed")
            pending.answer = answers.Answer(
                status=502, reason=b"Bad Gateway", fields=(), body=b"", close=True
            )
        finally:
            self._budget.release(len(received.body))
        if not self._ended:
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
        if self._reading_paused and len(self._pending) < _MAX_PIPELINED_REQUESTS:
            self._resume_reading()

    def _write(self, ready: answers.Answer, pending: _PendingAnswer, *, close: bool) -> None:
        if self._transport is None or self._ended:
            return
        self.last_activity_s = clock.now()
        framed = list(ready.fields)
        if ready.status not in _BODYLESS_STATUSES:
            framed.append((b"content-length", str(len(ready.body)).encode()))
        if close:
            framed.append((b"connection", b"close"))
        head = fields.encode(b"HTTP/1.1 %d %b" % (ready.status, ready.reason), framed)
        bodyless = pending.is_head or ready.status in _BODYLESS_STATUSES
        self._transport.write(head if bodyless else head + ready.body)

    def _close_after_write(self) -> None:
        """Closes after the last written answer without resetting the connection."""
        if self._transport is None or self._transport.is_closing():
            return
        self._discarding = True
        for pending in self._pending:
            if pending.task is not None:
                pending.task.cancel()
        self._pending.clear()
        self._resume_reading()
        transport = self._transport
        if transport.can_write_eof():
            transport.write_eof()
        asyncio.get_running_loop().call_later(_LINGER_S, transport.close)

    def _is_in_body(self) -> bool:
        return self._receiving and not self._in_header_section

    def _reject(self, error: errors.BadMessageError) -> None:
        self._discarding = True
        self._receiving = False
        self._discard_body()
        pending = _PendingAnswer(keep_alive=False, is_head=False)
        pending.answer = answers.Answer(
            status=error.status, reason=b"Rejected", fields=(), body=b"", close=True
        )
        self._pending.append(pending)
        self._flush()

    def _discard_body(self) -> None:
        if self._body:
            self._budget.release(len(self._body))
            self._body.clear()

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()
