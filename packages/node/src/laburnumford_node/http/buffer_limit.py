"""Limit on the buffered body bytes of all calls of a process."""

from laburnumford_node.http import _read_buffer

DEFAULT_CALL_LIMIT_BYTES = 64 * 1024
DEFAULT_PROCESS_LIMIT_BYTES = 64 * 1024 * 1024


class BufferLimit:
    """Counts the buffered body bytes of one process and decides when a call stops reading.

    A call stops reading when its buffer is full, and every call that has buffered bytes stops
    while the process is over its limit. One more read may follow on each connection, so a
    process holds at most its limit plus one read per connection.

    Args:
        call_limit_bytes: limit per direction of a call in bytes, one read included.
        process_limit_bytes: limit of all calls in bytes.
    """

    def __init__(
        self,
        *,
        call_limit_bytes: int = DEFAULT_CALL_LIMIT_BYTES,
        process_limit_bytes: int = DEFAULT_PROCESS_LIMIT_BYTES,
    ) -> None:
        self.call_high_water_bytes = max(call_limit_bytes - _read_buffer.READ_BUFFER_BYTES, 0)
        self._process_limit_bytes = process_limit_bytes
        self.held_bytes = 0
        self.pauses_count = 0

    @property
    def over_limit(self) -> bool:
        """Whether the process holds more bytes than its limit."""
        return self.held_bytes > self._process_limit_bytes

    def must_pause(self, buffered_bytes: int) -> bool:
        """Returns whether a call with `buffered_bytes` bytes in its buffer must stop reading."""
        if buffered_bytes > self.call_high_water_bytes:
            return True
        if buffered_bytes > 0 and self.over_limit:
            self.pauses_count += 1
            return True
        return False
