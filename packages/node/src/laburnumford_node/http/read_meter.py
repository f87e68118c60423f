"""Counts the bytes received for one message or exchange and compares them with limits."""

_FRAMING_BYTES_PER_BODY_BYTE = 8
"""A chunk of one byte has a size line, its byte and two line ends, which are six bytes."""


class ReadMeter:
    """Counts received bytes; everything that is not body counts as framing.

    The HTTP parser accumulates a header field or a chunk extension without a limit, so the bytes
    are counted as they arrive and not when the parser reports an element. One read of the
    transport may exceed a limit before the check.

    Attributes:
        received_bytes: all bytes counted so far.
        body_bytes: bytes of bodies counted so far.
    """

    __slots__ = ("body_bytes", "received_bytes")

    def __init__(self) -> None:
        self.received_bytes = 0
        self.body_bytes = 0

    def reset(self) -> None:
        """Starts to count a new message or exchange."""
        self.received_bytes = 0
        self.body_bytes = 0

    def observe_received(self, size: int) -> None:
        """Counts bytes that the transport delivered."""
        self.received_bytes += size

    def observe_body(self, size: int) -> None:
        """Counts a part of a body."""
        self.body_bytes += size

    def is_framing_within(self, limit_bytes: int) -> bool:
        """Returns whether the framing is within a limit, which chunked bodies extend."""
        framing_bytes = self.received_bytes - self.body_bytes
        return framing_bytes <= limit_bytes + _FRAMING_BYTES_PER_BODY_BYTE * self.body_bytes
