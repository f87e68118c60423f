"""Bound on the bytes that wait in the bodies of all calls of a process."""

from laburnumford_node.http import _read_buffer

CALL_BYTES = 64 * 1024
PROCESS_BYTES = 64 * 1024 * 1024


class BufferLimit:
    """Counts the buffered bytes of one process.

    Reading stops for a call whose buffer is full, and for every call while the process
    is over its limit. One read may follow, so a process holds at most its limit and one
    read for each connection.

    Args:
        call_bytes: bytes per direction of a call, one read included.
        process_bytes: bytes of all calls.
    """

    def __init__(
        self, *, call_bytes: int = CALL_BYTES, process_bytes: int = PROCESS_BYTES
    ) -> None:
        self.high_water_bytes = max(call_bytes - _read_buffer.READ_BYTES, 0)
        self._process_bytes = process_bytes
        self.held_bytes = 0
        self.pauses_count = 0

    @property
    def full(self) -> bool:
        """Whether the process is over its limit."""
        return self.held_bytes > self._process_bytes

    def must_pause(self, size_bytes: int) -> bool:
        """Returns whether a call that holds `size_bytes` has to stop reading."""
        if size_bytes > self.high_water_bytes:
            return True
        if size_bytes > 0 and self.full:
            self.pauses_count += 1
            return True
        return False
