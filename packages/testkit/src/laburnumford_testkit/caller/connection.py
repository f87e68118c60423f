"""One connection of a caller."""

import asyncio

import httptools

from laburnumford_testkit import errors
from laburnumford_testkit.caller import exchange as exchange_module


class Connection(asyncio.Protocol):
    """Sends one request at a time and parses the answer."""

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
        """Whether another request may be sent."""
        return (
            not self.closed
            and self._exchange is None
            and self._keep_alive
            and self.unexpected_bytes == 0
        )

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Breaks off the exchange."""
        self.closed = True
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        exchange = self._exchange
        if exchange is None or exchange.ended.done():
            return
        if exchange.started and not exchange.framed:
            exchange.end()
        else:
            what = "truncated" if exchange.started else "no answer"
            cause = f": {exc}" if exc else ""
            exchange.break_off(errors.ConnectionBrokenError(f"{what}{cause}"))

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; bytes outside of an exchange make the connection unusable."""
        if self._exchange is None:
            self.unexpected_bytes += len(data)
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.unexpected_bytes += len(data)
            if self._exchange is not None:
                self._exchange.break_off(errors.ConnectionBrokenError(f"invalid answer: {error}"))
            self.close()

    def pause_writing(self) -> None:
        """Holds the body."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Continues the body."""
        if self._writable is not None:
            if not self._writable.done():
                self._writable.set_result(None)
            self._writable = None

    # httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header, or a trailer after the header section."""
        exchange = self._exchange
        if exchange is None:
            return
        fields = exchange.trailers if exchange.started else exchange.headers
        fields[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Starts the answer; an answer to HEAD ends here."""
        exchange = self._exchange
        if exchange is None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            exchange.continued = exchange.continued or status == 100
            exchange.headers.clear()
            return
        exchange.start(status)
        headers = exchange.headers
        self._keep_alive = headers.get("connection", "").lower() != "close"
        bodyless = status in (204, 304) or exchange.method == "HEAD"
        exchange.framed = bodyless or "content-length" in headers or "transfer-encoding" in headers
        if exchange.method == "HEAD":
            # The parser does not know the method and would wait for a body.
            self._parser = httptools.HttpResponseParser(self)
            self._end()

    def on_body(self, data: bytes) -> None:
        """Adds bytes of the body."""
        if self._exchange is not None:
            self._exchange.feed(data)

    def on_message_complete(self) -> None:
        """Ends the answer; the end of a 1xx answer is not the end of the exchange."""
        if self._exchange is not None and self._exchange.started and self._exchange.framed:
            self._end()

    # for the caller

    def begin(self, exchange: exchange_module.Exchange, header_section: bytes) -> None:
        """Sends a header section and takes the exchange as the one to be answered."""
        assert self._transport is not None
        self._exchange = exchange
        self._transport.write(header_section)

    async def send(self, data: bytes) -> None:
        """Sends bytes of a body and waits until the transport takes more."""
        assert self._transport is not None
        if self.closed:
            return
        self._transport.write(data)
        if self._writable is not None:
            await self._writable

    def close(self) -> None:
        """Closes the connection at once."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def _end(self) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.end()
