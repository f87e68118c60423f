"""One connection of a caller: requests run side by side, answers go out in order."""

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
from laburnumford_mesh.http import framing, request
from laburnumford_node.http import errors, fields, parsing, sockets

Handler = Callable[[request.Request], Awaitable[answers.Answer]]
"""Answers one request. It is cancelled when the caller goes away."""

_LOG = logging.getLogger("laburnumford.mesh")
_MAX_PIPELINED = 16
"""Bounds the requests that one connection has in work; more stay in the socket."""

_MAX_FIELDS = 256
"""Bounds the work of a header section besides its bytes."""

_LINGER_S = 1.0
"""An answer to a request that was not read whole is lost if the close resets the connection."""

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_BODYLESS_STATUSES = frozenset({204, 304})


@dataclasses.dataclass(slots=True)
class _Slot:
    """The place of one answer in the order of the connection."""

    keep_alive: bool
    is_head: bool
    task: asyncio.Task[None] | None = None
    answer: answers.Answer | None = None


class EdgeConnection(asyncio.Protocol):
    """Parses requests, starts a handler for each and writes the answers in order.

    Args:
        handler: answers a request.
        limits: returns the bounds in force.
        on_closed: called once when the connection has ended.
        reserve: called with the bytes that a buffered body adds or gives back; returns
            whether there is room.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], limits_module.Limits],
        on_closed: Callable[["EdgeConnection"], None],
        reserve: Callable[[int], bool],
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._on_closed = on_closed
        self._reserve = reserve
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._slots: collections.deque[_Slot] = collections.deque()
        self._discarding = False
        self._receiving = False
        self._target = b""
        self._fields: list[fields.Field] = []
        self._body = bytearray()
        self._section_bytes = 0
        self._in_header_section = False
        self._reading_paused = False
        self._draining = False
        self._ended = False
        self._remote_ip = ""
        self.last_activity_s = clock.now()
        self.header_started_s: float | None = None

    # asyncio callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._remote_ip = str(transport.get_extra_info("peername")[0])

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._discarding:
            return
        self.last_activity_s = clock.now()
        if self._in_header_section or not self._receiving:
            self._section_bytes += len(data)
            if self.header_started_s is None:
                self.header_started_s = self.last_activity_s
        try:
            parsing.feed_request(self._parser, data)
        except errors.BadMessageError as error:
            self._fail(error)
        else:
            if self._in_header_section and self._section_bytes > self._limits().header_bytes:
                self._fail(errors.BadMessageError(431, "header section is too large"))

    def eof_received(self) -> bool:
        """Closes: a caller that has closed its half is taken to have gone away."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Cancels the handlers."""
        self._ended = True
        self._release_body()
        for slot in self._slots:
            if slot.task is not None:
                slot.task.cancel()
        self._slots.clear()
        self._on_closed(self)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Resets the fields of the request being parsed."""
        self._target = b""
        self._fields = []
        self._in_header_section = True
        self._receiving = True

    def on_url(self, url: bytes) -> None:
        """Collects the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header field; trailer fields are dropped."""
        if not self._in_header_section:
            return
        if len(self._fields) >= _MAX_FIELDS:
            raise errors.BadMessageError(431, f"more than {_MAX_FIELDS} header fields")
        self._fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Checks the header section."""
        self._in_header_section = False
        self._section_bytes = 0
        self.header_started_s = None
        size = len(self._target) + sum(len(n) + len(v) + 4 for n, v in self._fields)
        if size > self._limits().header_bytes:
            raise errors.BadMessageError(431, "header section is too large")
        values = dict(reversed(self._fields))
        version = self._parser.get_http_version()
        framing.check(version, self._parser.get_method(), self._fields, values)
        length = values.get(b"content-length")
        if length is not None and int(length) > self._limits().body_bytes:
            raise errors.BadMessageError(413, "body is too large")
        if (
            values.get(b"expect", b"").lower() == b"100-continue"
            and not self._slots
            and self._transport is not None
        ):
            self._transport.write(_CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Collects the body."""
        if len(self._body) + len(data) > self._limits().body_bytes:
            raise errors.BadMessageError(413, "body is too large")
        if not self._reserve(len(data)):
            raise errors.BadMessageError(503, "no room to buffer the body")
        self._body += data

    def on_message_complete(self) -> None:
        """Starts the handler."""
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
        slot = _Slot(keep_alive=received.keep_alive, is_head=received.method == b"HEAD")
        self._slots.append(slot)
        if not received.keep_alive:
            # Nothing may follow a request that asks to close.
            self._discarding = True
        slot.task = asyncio.get_running_loop().create_task(self._serve(slot, received))
        if len(self._slots) >= _MAX_PIPELINED:
            self._pause()

    # for the owner

    @property
    def idle(self) -> bool:
        """Whether no request is being received or answered."""
        return not self._slots and not self._receiving

    @property
    def in_work(self) -> int:
        """Number of requests without an answer."""
        return len(self._slots)

    def begin_drain(self) -> None:
        """Closes the connection behind the last answer from now on."""
        self._draining = True

    def has_unread_bytes(self) -> bool:
        """Returns whether the socket holds bytes that were not read."""
        return sockets.has_unread_bytes(self._transport)

    def close(self) -> None:
        """Closes the connection after the bytes written so far."""
        if self._transport is not None:
            self._transport.close()

    def fail_timeout(self) -> None:
        """Answers a header section that took too long."""
        self._fail(errors.BadMessageError(408, "header section took too long"))

    # internals

    async def _serve(self, slot: _Slot, received: request.Request) -> None:
        try:
            slot.answer = await self._handler(received)
        except Exception:
            # A request without an answer would hold up all those behind it.
            _LOG.exception("edge: handler failed")
            slot.answer = answers.Answer(
                status=502, reason=b"Bad Gateway", fields=(), body=b"", close=True
            )
        finally:
            self._reserve(-len(received.body))
        if not self._ended:
            self._flush()

    def _flush(self) -> None:
        while self._slots and (ready := self._slots[0].answer) is not None:
            slot = self._slots.popleft()
            last = not self._slots and not self._receiving
            close = ready.close or not slot.keep_alive or (self._draining and last)
            self._write(ready, slot, close=close)
            if close:
                self._end()
                return
        if self._reading_paused and len(self._slots) < _MAX_PIPELINED:
            self._resume()

    def _write(self, ready: answers.Answer, slot: _Slot, *, close: bool) -> None:
        if self._transport is None or self._ended:
            return
        self.last_activity_s = clock.now()
        framed = list(ready.fields)
        if ready.status not in _BODYLESS_STATUSES:
            framed.append((b"content-length", str(len(ready.body)).encode()))
        if close:
            framed.append((b"connection", b"close"))
        head = fields.encode(b"HTTP/1.1 %d %b" % (ready.status, ready.reason), framed)
        bodyless = slot.is_head or ready.status in _BODYLESS_STATUSES
        self._transport.write(head if bodyless else head + ready.body)

    def _end(self) -> None:
        """Closes behind the last written answer, without resetting the connection."""
        if self._transport is None or self._transport.is_closing():
            return
        self._discarding = True
        for slot in self._slots:
            if slot.task is not None:
                slot.task.cancel()
        self._slots.clear()
        self._resume()
        transport = self._transport
        if transport.can_write_eof():
            transport.write_eof()
        asyncio.get_running_loop().call_later(_LINGER_S, transport.close)

    def _fail(self, error: errors.BadMessageError) -> None:
        self._discarding = True
        self._receiving = False
        self._release_body()
        slot = _Slot(keep_alive=False, is_head=False)
        slot.answer = answers.Answer(
            status=error.status, reason=b"Rejected", fields=(), body=b"", close=True
        )
        self._slots.append(slot)
        self._flush()

    def _release_body(self) -> None:
        if self._body:
            self._reserve(-len(self._body))
            self._body.clear()

    def _pause(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._reading_paused = True
            self._transport.pause_reading()

    def _resume(self) -> None:
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()
