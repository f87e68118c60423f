"""One connection of a test caller."""

import asyncio

import httptools

from laburnumford_testkit import errors
from laburnumford_testkit.caller import exchange as exchange_module


class Connection(asyncio.Protocol):
    """Sends one request at a time and parses its answer.

    Attributes:
        closed: whether the connection is closed.
        unexpected_bytes: bytes received that belong to no answer or are invalid.
    """

    def __init__(self) -> None:
        self.closed = False
        self.unexpected_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: exchange_module.Exchange | None = None
        self._writable: asyncio.Future[None] | None = None
        self._keep_alive = True

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return (
            not self.closed
            and self._exchange is None
            and self._keep_alive
            and self.unexpected_bytes == 0
        )

    # Callbacks of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the exchange; it fails unless its answer ends with the connection."""
        self.closed = True
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        exchange = self._exchange
        if exchange is None or exchange.ended.done():
            return
        if exchange.started and not exchange.self_delimited:
            exchange.end()
        else:
            reason = "truncated" if exchange.started else "no answer"
            cause = f": {exc}" if exc else ""
            exchange.fail(errors.ConnectionBrokenError(f"{reason}{cause}"))

    def data_received(self, data: bytes) -> None:
        """Parses data; closes the connection on bytes that belong to no answer or are invalid."""
        if self._exchange is None:
            self.unexpected_bytes += len(data)
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.unexpected_bytes += len(data)
            if self._exchange is not None:
                self._exchange.fail(errors.ConnectionBrokenError(f"invalid answer: {error}"))
            self.close()

    def pause_writing(self) -> None:
        """Makes `send` wait until the write buffer has drained."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Lets `send` continue."""
        if self._writable is not None:
            if not self._writable.done():
                self._writable.set_result(None)
            self._writable = None

    # Callbacks of httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field, or a trailer field after the header section."""
        exchange = self._exchange
        if exchange is None:
            return
        fields = exchange.trailers if exchange.started else exchange.headers
        fields[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Starts the answer; ends the answer to a HEAD request, and skips a 1xx answer."""
        exchange = self._exchange
        if exchange is None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            exchange.received_continue = exchange.received_continue or status == 100
            exchange.headers.clear()
            return
        exchange.start(status)
        headers = exchange.headers
        self._keep_alive = headers.get("connection", "").lower() != "close"
        bodyless = status in (204, 304) or exchange.method == "HEAD"
        exchange.self_delimited = (
            bodyless or "content-length" in headers or "transfer-encoding" in headers
        )
        if exchange.method == "HEAD":
            # The parser does not know that the method is HEAD and would wait for a body.
            self._parser = httptools.HttpResponseParser(self)
            self._end()

    def on_body(self, data: bytes) -> None:
        """Adds bytes to the body."""
        if self._exchange is not None:
            self._exchange.feed(data)

    def on_message_complete(self) -> None:
        """Ends a final, self-delimited answer; a 1xx answer does not end the exchange."""
        if self._exchange is not None and self._exchange.started and self._exchange.self_delimited:
            self._end()

    # Interface for the caller

    def begin(self, exchange: exchange_module.Exchange, header_section: bytes) -> None:
        """Sends a header section; the answer goes to `exchange`."""
        assert self._transport is not None
        self._exchange = exchange
        self._transport.write(header_section)

    async def send(self, data: bytes) -> None:
        """Sends bytes of a body and waits while the write buffer is full."""
        assert self._transport is not None
        if self.closed:
            return
        self._transport.write(data)
        if self._writable is not None:
            await self._writable

    def close(self) -> None:
        """Aborts the connection; buffered data is not sent."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def _end(self) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.end()
