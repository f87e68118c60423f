"""Body that is received in chunks."""

from typing import cast

from laburnumford_mesh import clock, frames, link


class IncomingBody:
    """Collects the chunks of one body, which arrive in order on one stream.

    Args:
        source: stream on which the body arrives.
        size: size of the body in bytes.

    Attributes:
        source: stream on which the body arrives.
        size: size of the body in bytes.
        last_progress_s: time of `clock.now` when the last chunk arrived or the body was granted.
    """

    def __init__(self, source: link.Link, size: int) -> None:
        self.source = source
        self.size = size
        self.last_progress_s = clock.now()
        self._buffer = bytearray()

    @property
    def complete(self) -> bool:
        """Whether all bytes have arrived."""
        return len(self._buffer) == self.size

    def grant(self, source: link.Link, call_id: int) -> None:
        """Asks for the body from its start on a stream; drops what arrived on another one."""
        self.source = source
        self.last_progress_s = clock.now()
        self._buffer = bytearray()
        source.send(frames.BodyGrant(call_id))

    def add(self, source: link.Link, chunk: frames.BodyChunk) -> None:
        """Appends a chunk; one of an earlier stream, or out of order, is ignored.

        An ignored chunk leaves the body incomplete, which ends by a time-out.
        """
        end = chunk.offset + len(chunk.data)
        if source is not self.source or chunk.offset != len(self._buffer) or end > self.size:
            return
        self.last_progress_s = clock.now()
        self._buffer += chunk.data

    def content(self) -> bytes:
        """Returns the body.

        It is the buffer itself, since a copy would double the memory of the body. Nothing changes
        it afterwards.
        """
        return cast(bytes, self._buffer)
