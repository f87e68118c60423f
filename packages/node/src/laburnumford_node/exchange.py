"""A request sent on a connection, with its answer."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

from laburnumford_node import payload as payloads
from laburnumford_node.http import body, client_connection, errors, fields, response

ReleaseCallback = Callable[[bool], None]
"""Called once when the exchange has ended, with whether the answer was received completely."""


class Exchange:
    """Sends a request and receives its answer on one connection.

    Args:
        connection: connection that no other exchange uses.
        release: returns the connection to its owner when the exchange has ended.
    """

    def __init__(
        self, *, connection: client_connection.ClientConnection, release: ReleaseCallback
    ) -> None:
        self._connection = connection
        self._release = release
        self._upload: asyncio.Task[None] | None = None
        self._upload_error: errors.HttpError | None = None
        self._ended = False
        self._answer: response.Response | None = None

    @property
    def answer(self) -> response.Response:
        """Answer, available once its header section has arrived."""
        if self._answer is None:
            raise RuntimeError("the answer has not arrived")
        return self._answer

    @property
    def caller_error(self) -> errors.HttpError | None:
        """Error that ended the body from the caller early, or None."""
        return self._upload_error

    async def send(
        self,
        *,
        method: bytes,
        target: bytes,
        head: Sequence[fields.Field],
        payload: payloads.Payload,
        expect_continue: bool = False,
        on_informational: client_connection.InformationalCallback | None = None,
    ) -> response.Response:
        """Sends the request and waits for the header section of the answer.

        Args:
            method: request method.
            target: request target in origin form.
            head: header fields without framing.
            payload: body of the request.
            expect_continue: sends a streamed body only after 100 Continue, so that the body of
                a refused request is still unread and can be sent again.
            on_informational: called for 1xx answers other than 100.

        Raises:
            HttpError: the connection failed or the answer is invalid.
        """
        connection = self._connection
        connection.begin_exchange(method)
        connection.on_informational = on_informational
        framed = [*head, *_framing_fields(payload)]
        if payload.stream is not None and expect_continue:
            framed.append((b"expect", b"100-continue"))
        encoded = fields.encode(b"%b %b HTTP/1.1" % (method, target), framed)
        if payload.stream is None:
            connection.write(encoded + payload.data if payload.data else encoded)
            connection.end_request()
        else:
            connection.write(encoded)
            self._upload = asyncio.get_running_loop().create_task(
                self._send_stream(payload, expect_continue)
            )
        self._answer = await connection.answer()
        return self._answer

    async def end(self, *, whole: bool) -> None:
        """Ends the exchange and releases the connection.

        Args:
            whole: whether the answer was received completely.
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

    async def _send_stream(self, payload: payloads.Payload, expect_continue: bool) -> None:
        stream = payload.stream
        if stream is None:
            return
        connection = self._connection
        chunked = payload.content_length is None
        try:
            if expect_continue and not await connection.wait_continue():
                return
            while data := await self._read(stream):
                connection.write(fields.encode_chunk(data) if chunked else data)
                await connection.drain()
            if chunked:
                connection.write(fields.encode_last_chunk(stream.trailers))
            connection.end_request()
        except errors.HttpError:
            # Closing the connection also fails the wait for the answer in `send`.
            connection.close()

    async def _read(self, stream: body.Body) -> bytes:
        try:
            return await stream.read()
        except errors.HttpError as error:
            self._upload_error = error
            raise


def _framing_fields(payload: payloads.Payload) -> list[fields.Field]:
    if payload.content_length is not None:
        return [(b"content-length", str(payload.content_length).encode())]
    if payload.stream is not None:
        return [(b"transfer-encoding", b"chunked")]
    return []
