"""Incoming connection, which parses requests and writes their answers."""

import asyncio
import collections
import contextlib
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

import httptools

from laburnumford_node.http import (
    _connection,
    _read_buffer,
    body,
    buffer_limit,
    errors,
    fields,
    parsing,
    request,
    sockets,
)

Handler = Callable[[request.Request, "ServerConnection"], Awaitable[None]]
"""Answers one request through the connection that received it."""

BadMessageResponder = Callable[["ServerConnection", errors.BadMessageError], None]
"""Answers a request that could not be parsed."""

_MAX_PIPELINED_REQUESTS = 1
_LINGER_TIMEOUT_S = 2.0
_VERSIONS = frozenset({"1.0", "1.1"})
_CONTINUE_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"


class ServerConnection(_connection.Connection):
    """Parses the requests of one connection and runs the handler, one request at a time.

    The single task of the connection waits for a request, awaits the handler and continues
    with the next request if the connection can be reused. The handler is cancelled when the
    caller closes the connection, unless it has called `keep_running`.

    Args:
        handler: called for each request.
        on_bad_message: called for a request that could not be parsed.
        max_header_bytes: largest header section in bytes.
        clock: monotonic clock in seconds.
        on_closed: called once when the connection has ended.
        buffers: limit on the buffered bytes of the process.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        on_bad_message: BadMessageResponder,
        max_header_bytes: int,
        clock: Callable[[], float],
        on_closed: Callable[["ServerConnection"], None],
        buffers: buffer_limit.BufferLimit,
    ) -> None:
        super().__init__()
        self._handler = handler
        self._on_bad_message = on_bad_message
        self._max_header_bytes = max_header_bytes
        self._clock = clock
        self._on_closed = on_closed
        self._buffers = buffers
        self._parser = httptools.HttpRequestParser(self)
        self._task: asyncio.Task[None] | None = None
        self._requests: collections.deque[request.Request | errors.BadMessageError] = (
            collections.deque()
        )
        self._request_waiter: asyncio.Future[None] | None = None
        self._draining = False
        self._detached = False
        self._close_after_answer = False
        self._reading_body: body.Body | None = None
        self._current_request: request.Request | None = None
        self._target = b""
        self._header_section_bytes = 0
        self._in_header_section = False
        self._discarding = False
        self.last_activity_s = clock()
        self.header_started_s: float | None = None
        self.answer_started = False
        self.context: dict[str, Any] = {}

    # asyncio callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the task of the connection."""
        super().connection_made(transport)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received bytes."""
        if self._discarding:
            return
        self.last_activity_s = self._clock()
        if self._reading_body is None:
            self._header_section_bytes += nbytes
        try:
            parsing.feed_request(self._parser, _read_buffer.READ_BUFFER[:nbytes])
        except errors.BadMessageError as error:
            self._fail(error)
        else:
            if self._in_header_section and self._header_section_bytes > self._max_header_bytes:
                self._fail(self._header_too_large_error())

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the body being read and cancels the handler."""
        self._lost = True
        if self._reading_body is not None:
            self._reading_body.fail(errors.ConnectionLostError(f"caller closed: {exc}"))
        for waiting in self._requests:
            if isinstance(waiting, request.Request):
                waiting.body.discard()
        self._wake_drain()
        self._wake()
        if self._task is not None and not self._detached:
            self._task.cancel()
        self._on_closed(self)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Resets the fields of the request being parsed."""
        self._target = b""
        self._fields = []
        self._trailers = []
        self._in_header_section = True
        if self.header_started_s is None:
            self.header_started_s = self._clock()

    def on_url(self, url: bytes) -> None:
        """Collects the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header field, or a trailer field after the body."""
        self._collect_field(name, value, trailer=self._reading_body is not None, status=431)

    def on_headers_complete(self) -> None:
        """Queues the request for the task of the connection."""
        self._in_header_section = False
        if self._header_section_bytes > self._max_header_bytes:
            self._check_section_size()
        self._header_section_bytes = 0
        self.header_started_s = None
        received = self._build_request()
        self._reading_body = received.body
        self._requests.append(received)
        if len(self._requests) > _MAX_PIPELINED_REQUESTS:
            self.pause_reading()
        self._wake()

    def on_body(self, data: bytes) -> None:
        """Adds received bytes to the body of the request being parsed."""
        if self._reading_body is not None:
            self._reading_body.feed(data)

    def on_message_complete(self) -> None:
        """Ends the body of the request being parsed."""
        if self._reading_body is not None:
            self._reading_body.finish(self._trailers)
            self._reading_body = None

    # used by handlers

    @property
    def lost(self) -> bool:
        """Whether the caller has disconnected."""
        return self._lost

    @property
    def idle(self) -> bool:
        """Whether no request is being received or answered."""
        return self._current_request is None and not self._requests and not self._in_header_section

    def keep_running(self) -> None:
        """Lets the handler of the current request finish even if the caller disconnects."""
        self._detached = True

    def close_after_answer(self) -> None:
        """Closes the connection after the current answer."""
        self._close_after_answer = True

    def write(self, data: bytes) -> None:
        """Writes bytes of an answer; has no effect after the caller has disconnected."""
        if self._transport is not None and not self._lost:
            self.answer_started = True
            self._transport.write(data)

    def write_informational(self, data: bytes) -> None:
        """Writes a 1xx answer unless the final answer has started."""
        if self._transport is not None and not self._lost and not self.answer_started:
            self._transport.write(data)

    def abort(self) -> None:
        """Resets the connection, so that a partial answer cannot look complete."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes the connection after the bytes written so far."""
        if self._transport is not None:
            self._transport.close()

    def drain_connection(self, min_idle_s: float) -> None:
        """Closes the connection at the next message boundary.

        A caller may be sending a request on a connection that looks idle, and would get no
        answer to it. So a connection in use is closed after its next answer. An idle
        connection is closed only if no bytes have arrived on it for some time.

        Args:
            min_idle_s: time in seconds without received bytes after which an idle connection is
                closed.
        """
        self._draining = True
        idle_s = self._clock() - self.last_activity_s
        if self.idle and idle_s >= min_idle_s and not sockets.has_unread_bytes(self._transport):
            self.close()

    @property
    def task(self) -> asyncio.Task[None] | None:
        """The task of the connection, for the server that owns it."""
        return self._task

    # internals

    async def _run(self) -> None:
        try:
            while not self._lost:
                received = await self._next_request()
                if received is None:
                    return
                if isinstance(received, errors.BadMessageError):
                    self._on_bad_message(self, received)
                    await self._linger()
                    return
                if not await self._handle(received):
                    if not received.body.received:
                        await self._linger()
                    return
        finally:
            if self._transport is not None and not self._transport.is_closing():
                self._transport.close()

    async def _linger(self) -> None:
        """Discards what the caller still sends, for a limited time (lingering close).

        Closing a connection with unread bytes resets it, and the caller may lose the answer
        that was written last.
        """
        if self._transport is None or self._transport.is_closing():
            return
        self._discarding = True
        self._transport.write_eof()
        self.resume_reading()
        self._request_waiter = asyncio.get_running_loop().create_future()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LINGER_TIMEOUT_S):
                await self._request_waiter

    async def _next_request(self) -> request.Request | errors.BadMessageError | None:
        while not self._requests:
            if self._lost:
                return None
            self._request_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._request_waiter
            finally:
                self._request_waiter = None
        received = self._requests.popleft()
        if len(self._requests) == _MAX_PIPELINED_REQUESTS:
            self.resume_reading()
        return received

    async def _handle(self, received: request.Request) -> bool:
        """Runs the handler; returns whether the connection can be reused."""
        self._current_request = received
        self.answer_started = False
        self._close_after_answer = self._draining
        try:
            await self._handler(received, self)
        finally:
            self._current_request = None
            self._detached = False
            received.body.discard()
        # The rest of a body could be parsed as the next request (request smuggling), so the
        # connection closes unless the body was received completely.
        reusable = received.keep_alive and received.body.received and not self._lost
        return reusable and not self._close_after_answer and not self._draining

    def _build_request(self) -> request.Request:
        version = self._parser.get_http_version()
        method = self._parser.get_method()
        received_fields = self._fields
        # Reversed, so that the first of several values is kept.
        values = dict(reversed(received_fields))
        content_length, chunked = _framing(values, version)
        if len(values) < len(received_fields) or b"host" not in values:
            _check_fields(received_fields, version)
        if version not in _VERSIONS:
            raise errors.BadMessageError(
                505, f"HTTP/{version} is not supported; allowed: 1.0, 1.1"
            )
        if method == b"CONNECT" or b"upgrade" in values:
            raise errors.BadMessageError(501, "Upgrade and CONNECT are not supported")
        received_body = body.Body(self, self._buffers)
        expects = values.get(b"expect")
        if expects is not None and version == "1.1":
            if expects.lower() != b"100-continue":
                raise errors.BadMessageError(417, f"Expect: {expects!r} is not supported")
            received_body.on_first_read = self._send_continue
        return request.Request(
            method=method,
            target=_origin_form(self._target),
            version=version,
            fields=received_fields,
            value_by_name=values,
            content_length=content_length,
            chunked=chunked,
            keep_alive=self._parser.should_keep_alive(),
            body=received_body,
        )

    def _send_continue(self) -> None:
        if self._current_request is not None and not self._current_request.body.received:
            self.write_informational(_CONTINUE_ANSWER)

    def _check_section_size(self) -> None:
        # The bytes counted so far include body bytes of the same read.
        size = len(self._target) + sum(len(n) + len(v) + 4 for n, v in self._fields)
        if size > self._max_header_bytes:
            raise self._header_too_large_error()

    def _header_too_large_error(self) -> errors.BadMessageError:
        return errors.BadMessageError(
            431, f"header section is too large; allowed: {self._max_header_bytes} bytes"
        )

    def _fail(self, error: errors.BadMessageError) -> None:
        self._discarding = True
        if self._reading_body is not None:
            self._reading_body.fail(error)
            self._close_after_answer = True
            return
        self._requests.append(error)
        self._wake()

    def _wake(self) -> None:
        if self._request_waiter is not None and not self._request_waiter.done():
            self._request_waiter.set_result(None)


def _framing(value_by_name: Mapping[bytes, bytes], version: str) -> tuple[int | None, bool]:
    """Returns the content length and whether the body is chunked.

    llhttp has refused duplicate lengths, and a length beside a transfer coding.
    """
    coding = value_by_name.get(b"transfer-encoding")
    if coding is not None:
        if version != "1.1":
            raise errors.BadMessageError(400, "Transfer-Encoding needs HTTP/1.1")
        if coding.strip().lower() != b"chunked":
            raise errors.BadMessageError(
                501, f"transfer coding {coding!r} is not supported; allowed: chunked"
            )
        return None, True
    length = value_by_name.get(b"content-length")
    return (int(length) if length is not None else None), False


def _check_fields(received: Sequence[fields.Field], version: str) -> None:
    hosts = 0
    codings = 0
    for name, _ in received:
        hosts += name == b"host"
        codings += name == b"transfer-encoding"
    if hosts > 1 or (hosts == 0 and version == "1.1"):
        raise errors.BadMessageError(400, f"found {hosts} Host fields; allowed: 1")
    if codings > 1:
        raise errors.BadMessageError(400, f"found {codings} Transfer-Encoding fields; allowed: 1")


def _origin_form(target: bytes) -> bytes:
    """Returns the target in origin form (RFC 9112, section 3.2)."""
    if target.startswith(b"/") or target == b"*":
        if b"#" in target:
            raise errors.BadMessageError(400, "request target with a fragment")
        return target
    for scheme in (b"http://", b"https://"):
        if target.lower().startswith(scheme):
            slash = target.find(b"/", len(scheme))
            return target[slash:] if slash >= 0 else b"/"
    raise errors.BadMessageError(400, f"request target {target[:64]!r} is not in origin form")
