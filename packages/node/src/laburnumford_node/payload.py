"""The body of a request as it is sent on."""

import dataclasses

from laburnumford_node.http import body, request

SMALL_BODY_BYTES = 64 * 1024
"""Bodies up to this size are read before a slot is taken."""

_SMALL_CHUNKED_BYTES = 32 * 1024
"""A chunked body does not declare its size; one read may overshoot this limit by 32 KiB."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Payload:
    """Body of a request, either whole in memory or a stream.

    Attributes:
        data: the whole body, or None for a stream.
        stream: the stream, or None for a whole body.
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
    """Reads a small body whole; leaves a larger one as a stream.

    Args:
        received: request whose body is read.
        read_chunked: reads the start of a chunked body to learn whether it is
            small. Without it a chunked body stays untouched until a slot is taken,
            so that a refusal leaves the sender able to try elsewhere.

    Raises:
        HttpError: the caller went away or sent an invalid body.
    """
    if not received.has_body:
        return Payload(data=b"", content_length=0 if received.content_length == 0 else None)
    length = received.content_length
    if length is not None and length <= SMALL_BODY_BYTES:
        await received.body.wait_whole(SMALL_BODY_BYTES)
        return Payload(data=received.body.take(), content_length=length)
    whole = (
        read_chunked and received.chunked and await received.body.wait_whole(_SMALL_CHUNKED_BYTES)
    )
    if whole and not received.body.trailers:
        data = received.body.take()
        return Payload(data=data, content_length=len(data))
    return Payload(stream=received.body, content_length=length)
