"""Limit on the bodies that a process holds at the same time."""

SMALL_BODY_BYTES = 64 * 1024
"""Largest size of a small body. Ordinary requests are smaller, and the part of the budget that is
set aside for small bodies keeps them served while large ones fill the rest."""

_MAX_MEMORY_SHARE = 0.5
"""Share of the memory for all bodies. A node without load has 50 MB, and the smallest VM 200 MB."""

_LARGE_ANSWER_SHARE = 0.9
"""Share of the budget that large bodies may fill, answers included."""

_LARGE_REQUEST_SHARE = 0.7
"""Share of the budget that may be filled when another large request body is added. Answers of
requests that have run need the rest. A body of the largest published size, 64 MB, still fits on a
VM with 200 MB."""


class BufferBudget:
    """Counts the bytes of the bodies that are held by all parts that share the budget.

    Args:
        max_bytes: largest number of bytes that are held at a time.
        large_request_bytes: number of reserved bytes up to which large request bodies are
            reserved, `max_bytes` if None.
        large_answer_bytes: the same for large bodies of answers.

    Attributes:
        max_bytes: largest number of bytes that are held at a time.
        reserved_bytes: bytes that are held now.
        refusal_count: number of reservations that did not fit.
    """

    def __init__(
        self,
        *,
        max_bytes: int,
        large_request_bytes: int | None = None,
        large_answer_bytes: int | None = None,
    ) -> None:
        self.max_bytes = max_bytes
        self._large_request_bytes = (
            max_bytes if large_request_bytes is None else large_request_bytes
        )
        self._large_answer_bytes = max_bytes if large_answer_bytes is None else large_answer_bytes
        self.reserved_bytes = 0
        self.refusal_count = 0

    def reserve(self, size: int, *, body_bytes: int = 0, answer: bool = False) -> bool:
        """Reserves bytes if the budget has space for them; returns whether it has.

        Args:
            size: number of bytes.
            body_bytes: size of the body that the bytes are part of, as far as it is known; 0 if
                the bytes are the complete body.
            answer: whether the body is that of an answer.
        """
        if not self.has_space(size, body_bytes=body_bytes, answer=answer):
            self.refusal_count += 1
            return False
        self.reserved_bytes += size
        return True

    def take(self, size: int) -> None:
        """Counts bytes that are held already, even if they exceed the budget."""
        self.reserved_bytes += size

    def release(self, size: int) -> None:
        """Releases reserved bytes."""
        self.reserved_bytes -= size

    def has_space(self, size: int, *, body_bytes: int = 0, answer: bool = False) -> bool:
        """Returns whether `reserve` would reserve the bytes."""
        if max(size, body_bytes) <= SMALL_BODY_BYTES:
            limit = self.max_bytes
        elif answer:
            limit = self._large_answer_bytes
        else:
            limit = self._large_request_bytes
        return self.reserved_bytes + size <= limit


def of_process(memory_bytes: int) -> BufferBudget:
    """Returns the budget of a process that may use `memory_bytes` bytes of memory."""
    max_bytes = int(memory_bytes * _MAX_MEMORY_SHARE)
    return BufferBudget(
        max_bytes=max_bytes,
        large_request_bytes=int(max_bytes * _LARGE_REQUEST_SHARE),
        large_answer_bytes=int(max_bytes * _LARGE_ANSWER_SHARE),
    )
