"""Memory of one listener's callers: reservations, and the choice of readers that are closed."""

from collections.abc import Callable, Collection, Sequence
from typing import Protocol

from laburnumford_mesh import clock, event_log
from laburnumford_mesh.http import buffer_budget

_MAX_STALL_S = 6.0
"""Seconds without any progress after which a reader is closed. The slowest link passes a piece of
an answer in less than half a second."""

_SHORTAGE_STALL_S = 1.0
"""Seconds without progress after which a reader may be closed because memory is short; two sweeps,
so that a reader that makes progress is not taken for a stalled one."""

_MAX_ANSWER_SHARE = 0.875
"""Largest share of the budget that is counted for one answer. An answer that was received is in
memory already; with less, a long one would never fit beside the requests in flight."""

_MIN_LOG_INTERVAL_S = 0.1
"""Bounds the log lines when many readers are closed together."""


class Reader(Protocol):
    """Connection that holds answers for a caller."""

    @property
    def held_answer_bytes(self) -> int:
        """Bytes that are reserved for answers."""

    def stalled_s(self, now: float) -> float:
        """Returns for how many seconds the caller has read nothing of an unsent answer."""

    def close_slow_reader(self) -> None:
        """Closes the connection at once and releases what is reserved for its answers."""


class CallerMemory:
    """Reserves bytes for requests and answers, and closes readers that hold too much too long.

    Args:
        budget: budget of the process.
        readers: open connections of the listener.
        address: ``ip:port`` of the listener, for the log.
        log: structured log.

    Attributes:
        closed_reader_count: number of readers that were closed.
        dropped_answer_count: number of answers that found no space.
    """

    def __init__(
        self,
        *,
        budget: buffer_budget.BufferBudget,
        readers: Collection[Reader],
        address: str,
        log: event_log.EventLog,
    ) -> None:
        self._budget = budget
        self._readers = readers
        self._address = address
        self._log = log
        self._next_line_s = 0.0
        self.closed_reader_count = 0
        self.dropped_answer_count = 0

    def reserve_request(self, size: int, body_bytes: int = 0) -> bool:
        """Reserves bytes of a request, if need be by closing stalled readers.

        Args:
            size: number of bytes.
            body_bytes: size of the body that they are part of, as far as it was received.

        Returns:
            Whether they are reserved. If not, the request can be rejected, since it has not run.
        """

        def reserve() -> bool:
            return self._budget.reserve(size, body_bytes=body_bytes)

        return reserve() or self._close_stalled(reserve)

    def reserve_answer(self, size: int) -> int | None:
        """Reserves bytes of an answer that was received.

        Closes stalled readers first and then the readers that hold most, unless this answer is
        larger than what they hold.

        Returns:
            The number of bytes to release later, or None if there is no space.
        """
        counted = min(size, int(self._budget.max_bytes * _MAX_ANSWER_SHARE))

        def reserve() -> bool:
            return self._budget.reserve(counted, answer=True)

        if reserve() or self._close_stalled(reserve) or self._close_largest(counted, reserve):
            return counted
        self.dropped_answer_count += 1
        return None

    def release(self, size: int) -> None:
        """Releases reserved bytes."""
        self._budget.release(size)

    def close_expired(self, now: float) -> None:
        """Closes the readers that have read nothing for too long."""
        for reader in list(self._readers):
            if reader.stalled_s(now) > _MAX_STALL_S:
                self._close(reader, now, "stalled")

    def _close_stalled(self, reserve: Callable[[], bool]) -> bool:
        """Reserves bytes by closing stalled readers, longest first; returns whether it could."""
        now = clock.now()
        stalled = [
            reader for reader in self._readers if reader.stalled_s(now) >= _SHORTAGE_STALL_S
        ]
        stalled.sort(key=lambda reader: reader.stalled_s(now), reverse=True)
        return self._close_until_reserved(stalled, reserve, now)

    def _close_largest(self, size: int, reserve: Callable[[], bool]) -> bool:
        """Reserves bytes by closing the readers that hold more than `size`."""
        larger = [reader for reader in self._readers if reader.held_answer_bytes > size]
        larger.sort(key=lambda reader: reader.held_answer_bytes, reverse=True)
        return self._close_until_reserved(larger, reserve, clock.now())

    def _close_until_reserved(
        self, readers: Sequence[Reader], reserve: Callable[[], bool], now: float
    ) -> bool:
        for reader in readers:
            self._close(reader, now, "memory")
            if reserve():
                return True
        return False

    def _close(self, reader: Reader, now: float, reason: str) -> None:
        held_bytes = reader.held_answer_bytes
        stalled_s = reader.stalled_s(now)
        reader.close_slow_reader()
        self.closed_reader_count += 1
        if now < self._next_line_s:
            return
        self._next_line_s = now + _MIN_LOG_INTERVAL_S
        self._log.write(
            "slow_reader_closed",
            listener=self._address,
            reason=reason,
            stalled_s=round(stalled_s, 3),
            held_bytes=held_bytes,
            reserved_bytes=self._budget.reserved_bytes,
            closed=self.closed_reader_count,
        )
