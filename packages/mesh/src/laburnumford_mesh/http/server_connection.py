"""One outgoing HTTP connection, to a backend server or to the store."""

import asyncio
from typing import cast

import httptools

from laburnumford_mesh import clock
from laburnumford_mesh.http import answer as answers
from laburnumford_node.http import errors, fields, parsing

_BODYLESS_STATUSES = frozenset({204, 304})
_DEFAULT_KEEP_ALIVE_S = 5.0
"""For servers that do not say how long they keep an idle connection."""

_KEEP_ALIVE_MARGIN_S = 1.0
"""The server counts from its last byte, and closes on its own timer."""

_MAX_STRAY_ANSWERS = 4
"""A server that sends more answers to other requests than this is not understood."""


class ServerConnection(asyncio.Protocol):
    """Sends one request at a time and receives whole answers.

    An answer that carries another request's id is dropped, and the wait goes on: servers
    may send a second answer to an earlier request. The connection is reusable only after
    an answer that ended as declared, with no byte behind it.

    Args:
        id_field: name of the header field by which answers are matched, or None.
    """

    def __init__(self, *, id_field: bytes | None = None) -> None:
        self._id_field = id_field
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[answers.Answer] | None = None
        self._expected_id: bytes | None = None
        self._method = b""
        self._fields: list[fields.Field] = []
        self._reason = b""
        self._body = bytearray()
        self._in_trailers = False
        self._in_answer = False
        self._unframed = False
        self._poisoned = False
        self._lost = False
        self._eof = False
        self._stray_answers = 0
        self._keep_alive_s = _DEFAULT_KEEP_ALIVE_S
        self.idle_since_s = clock.now()
        self.requests_count = 0

    # asyncio callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._waiter is None or self._waiter.done():
            # Bytes that no request asked for: the next answer could be wrong.
            self._poison()
            return
        try:
            parsing.feed_answer(self._parser, data)
        except errors.BadMessageError as error:
            self._fail(error)

    def eof_received(self) -> bool:
        """Ends an answer whose length is the connection's end."""
        self._eof = True
        if self._unframed and self._in_answer:
            self._poisoned = True
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the exchange in progress."""
        self._lost = True
        self._fail(errors.TruncatedError(f"connection ended before the answer did: {exc}"))

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Resets the fields of the answer being parsed."""
        if self._waiter is None or self._waiter.done():
            raise errors.BadMessageError(502, "bytes behind the end of the answer")
        self._fields = []
        self._reason = b""
        self._body.clear()
        self._in_trailers = False
        self._in_answer = True
        self._unframed = False

    def on_status(self, status: bytes) -> None:
        """Collects the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header field; trailer fields are dropped."""
        if not self._in_trailers:
            self._fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Finds out how the answer ends."""
        self._in_trailers = True
        status = self._parser.get_status_code()
        names = {name for name, _ in self._fields}
        self._unframed = (
            status >= 200
            and status not in _BODYLESS_STATUSES
            and not {b"content-length", b"transfer-encoding"} & names
        )
        if self._method == b"HEAD":
            # llhttp cannot be told that this answer has no body.
            self._poisoned = True
            self._deliver()

    def on_body(self, data: bytes) -> None:
        """Collects the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Ends the answer."""
        if self._parser.get_status_code() < 200:
            self._in_answer = False
            return
        if not self._parser.should_keep_alive():
            self._poisoned = True
        self._deliver()

    # for the owner

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            not self._lost
            and not self._poisoned
            and not self._eof
            and self._transport is not None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    def is_fresh(self, now: float, max_idle_s: float) -> bool:
        """Returns whether the server still expects a request on this idle connection."""
        allowed_s = min(max_idle_s, max(self._keep_alive_s - _KEEP_ALIVE_MARGIN_S, 0.0))
        return now - self.idle_since_s <= allowed_s

    async def send(
        self, method: bytes, encoded: bytes, expected_id: bytes | None = None
    ) -> answers.Answer:
        """Sends an encoded request and returns the whole answer to it.

        Raises:
            HttpError: the connection ended or the answer is invalid.
        """
        if self._transport is None or self._lost or self._transport.is_closing():
            raise errors.ConnectError("connection closed before the request was written")
        self._method = method
        self._expected_id = expected_id
        self._in_answer = False
        self._stray_answers = 0
        self._waiter = asyncio.get_running_loop().create_future()
        self.requests_count += 1
        self._transport.write(encoded)
        return await self._waiter

    def close(self) -> None:
        """Closes the connection, which cancels an exchange in progress."""
        if self._transport is not None:
            self._transport.abort()

    # internals

    def _deliver(self) -> None:
        waiter = self._waiter
        self._in_answer = False
        if waiter is None or waiter.done():
            self._poison()
            return
        if not self._is_expected():
            self._stray_answers += 1
            if self._stray_answers > _MAX_STRAY_ANSWERS or self._poisoned:
                self._fail(errors.BadMessageError(502, "answers to other requests only"))
            return
        self.idle_since_s = clock.now()
        self._read_keep_alive()
        waiter.set_result(
            answers.Answer(
                status=self._parser.get_status_code(),
                reason=self._reason,
                fields=self._fields,
                body=bytes(self._body),
            )
        )

    def _is_expected(self) -> bool:
        if self._expected_id is None or self._id_field is None:
            return True
        return fields.get(self._fields, self._id_field) == self._expected_id

    def _read_keep_alive(self) -> None:
        value = fields.get(self._fields, b"keep-alive")
        if value is None:
            return
        for option in value.split(b","):
            name, _, seconds = option.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self._keep_alive_s = float(seconds)

    def _poison(self) -> None:
        self._poisoned = True
        self.close()

    def _fail(self, error: Exception) -> None:
        self._poison()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(error)
            # An exchange that was cancelled never asks for the answer.
            self._waiter.exception()
