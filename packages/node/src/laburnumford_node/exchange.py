"""One request sent on a connection and its answer."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

from laburnumford_node import payload as payloads
from laburnumford_node.http import body, client_connection, errors, fields, response

Release = Callable[[bool], None]
"""Called once at the end; the argument says whether the answer was received whole."""


class Exchange:
    """Sends a request and receives its answer on one connection.

    Args:
        connection: connection that no other exchange uses.
        release: takes the connection back when the exchange has ended.
    """

    def __init__(
        self, *, connection: client_connection.ClientConnection, release: Release
    ) -> None:
        self._connection = connection
        self._release = release
        self._upload: asyncio.Task[None] | None = None
        self._upload_error: errors.HttpError | None = None
        self._ended = False
        self._answer: response.Response | None = None

    @property
    def answer(self) -> response.Response:
        """The answer whose header section has arrived."""
        if self._answer is None:
            raise RuntimeError("the answer has not arrived")
        return self._answer

    @property
    def caller_error(self) -> errors.HttpError | None:
        """Why the caller's body broke off, or None."""
        return self._upload_error

    async def send(
        self,
        *,
        method: bytes,
        target: bytes,
        head: Sequence[fields.Field],
        payload: payloads.Payload,
        ask_first: bool = False,
        on_informational: client_connection.InformationalCallback | None = None,
    ) -> response.Response:
        """Sends the request and waits for the header section of the answer.

        Args:
            method: request method.
            target: request target in origin form.
            head: header fields without framing.
            payload: body.
            ask_first: sends a streamed body only after 100 Continue, so that a
                refused request leaves it untouched.
            on_informational: called for 1xx answers other than 100.

        Raises:
            HttpError: the connection failed or the answer is invalid.
        """
        connection = self._connection
        connection.begin(method)
        connection.on_informational = on_informational
        framed = [*head, *_framing(payload)]
        if payload.stream is not None and ask_first:
            framed.append((b"expect", b"100-continue"))
        encoded = fields.encode(b"%b %b HTTP/1.1" % (method, target), framed)
        if payload.stream is None:
            connection.write(encoded + payload.data if payload.data else encoded)
            connection.end_request()
        else:
            connection.write(encoded)
            self._upload = asyncio.get_running_loop().create_task(
                self._send_stream(payload, ask_first)
            )
        self._answer = await connection.answer()
        return self._answer

    async def end(self, *, whole: bool) -> None:
        """Ends the exchange and gives the connection back.

        Args:
            whole: whether the answer was received whole.
        """
        if self._ended:
            return
        self._ended = True
        if self._upload is not None and not self._upload.done():
            self._upload.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._upload
        self._connection.end_exchange()
        self._release(whole)

    def abandon(self) -> None:
        """Ends the exchange at once by closing the connection."""
        if self._ended:
            return
        self._ended = True
        self._connection.close()
        if self._upload is not None:
            self._upload.cancel()
        self._connection.end_exchange()
        self._release(False)

    async def _send_stream(self, payload: payloads.Payload, ask_first: bool) -> None:
        stream = payload.stream
        if stream is None:
            return
        connection = self._connection
        chunked = payload.content_length is None
        try:
            if ask_first and not await connection.wait_continue():
                return
            while data := await self._read(stream):
                connection.write(fields.encode_chunk(data) if chunked else data)
                await connection.drain()
            if chunked:
                connection.write(fields.encode_last_chunk(stream.trailers))
            connection.end_request()
        except errors.HttpError:
            # The waiting answer fails with the connection.
            connection.close()

    async def _read(self, stream: body.Body) -> bytes:
        try:
            return await stream.read()
        except errors.HttpError as error:
            self._upload_error = error
            raise


def _framing(payload: payloads.Payload) -> list[fields.Field]:
    if payload.content_length is not None:
        return [(b"content-length", str(payload.content_length).encode())]
    if payload.stream is not None:
        return [(b"transfer-encoding", b"chunked")]
    return []
