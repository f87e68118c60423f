"""The body of a request that is forwarded."""

import dataclasses

from laburnumford_node.http import body, request

MAX_BUFFERED_BODY_BYTES = 64 * 1024
"""Bodies up to this size are read into memory before a slot is taken."""

_MAX_BUFFERED_CHUNKED_BYTES = 32 * 1024
"""Limit for chunked bodies, which do not declare their size: one read may exceed it by 32 KiB."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Payload:
    """Holds the body of a request, either completely in memory or as a stream.

    Attributes:
        data: the complete body, or None for a stream.
        stream: the stream, or None for a body in memory.
        content_length: declared length in bytes, or None for a chunked stream.
    """

    data: bytes | None = None
    stream: body.Body | None = None
    content_length: int | None = None

    @property
    def repeatable(self) -> bool:
        """Whether the body can be sent again."""
        return self.stream is None or not self.stream.started


async def receive(received: request.Request, *, read_chunked: bool = True) -> Payload:
    """Reads a small body into memory; leaves a larger one as a stream.

    Args:
        received: request whose body is read.
        read_chunked: reads the start of a chunked body to find out whether it is
            small. If false, a chunked body stays unread until a slot is taken, so that
            after a refusal the sender can still send it to another node.

    Raises:
        HttpError: the caller disconnected or sent an invalid body.
    """
    if not received.has_body:
        return Payload(data=b"", content_length=0 if received.content_length == 0 else None)
    length = received.content_length
    if length is not None and length <= MAX_BUFFERED_BODY_BYTES:
        await received.body.wait_until_buffered(MAX_BUFFERED_BODY_BYTES)
        return Payload(data=received.body.take(), content_length=length)
    whole = (
        read_chunked
        and received.chunked
        and await received.body.wait_until_buffered(_MAX_BUFFERED_CHUNKED_BYTES)
    )
    if whole and not received.body.trailers:
        data = received.body.take()
        return Payload(data=data, content_length=len(data))
    return Payload(stream=received.body, content_length=length)
