"""Limit on the bytes that are buffered at the same time."""


class BufferBudget:
    """Counts the buffered bytes of all connections that share the budget.

    Args:
        max_bytes: largest number of bytes that are buffered at a time.

    Attributes:
        reserved_bytes: bytes that are buffered now.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.reserved_bytes = 0

    def reserve(self, size: int) -> bool:
        """Reserves bytes if the budget has space for them; returns whether it has."""
        if self.reserved_bytes + size > self.max_bytes:
            return False
        self.reserved_bytes += size
        return True

    def release(self, size: int) -> None:
        """Releases reserved bytes."""
        self.reserved_bytes -= size
