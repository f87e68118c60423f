"""Arrival times of requests that waited while the event loop was stalled."""

import asyncio
from collections.abc import Callable

_TICK_INTERVAL_S = 0.04
_STALL_THRESHOLD_S = 0.1
"""Gap between ticks that counts as a stall; several intervals, because a busy event loop also delays
ticks."""

_BACKLOG_WINDOW_S = 0.1
"""Requests that are read within this time after a stall may have waited in the kernel during it."""

_LATE_TICK_INTERVAL_S = 0.06
"""A larger gap between ticks after a stall shows that the node is still processing the backlog."""


class StallClock:
    """Detects stalls of the event loop and returns the earliest arrival time of a request.

    A request that is read after a pause of the process may have waited in the kernel for any
    part of the pause, and its caller may have given up. Dating it from the start of the pause
    never makes it appear younger than it is.

    Args:
        clock: monotonic clock in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._last_tick_s = clock()
        self._stall_began_s = self._last_tick_s
        self._stall_ended_s = float("-inf")
        self.stalls_count = 0

    def begin(self) -> None:
        """Discards the time before the node accepts requests, which is not a stall.

        A node may wait several seconds for its first version. Without this call, the first
        requests would be dated from before that wait and time out at once.
        """
        self._last_tick_s = self._clock()

    def tick(self) -> None:
        """Records a regular tick of the event loop and detects a stall before it."""
        now = self._clock()
        if now - self._last_tick_s > _STALL_THRESHOLD_S:
            self._stall_began_s = self._last_tick_s
            self._stall_ended_s = now
            self.stalls_count += 1
        elif (
            now - self._stall_ended_s < _BACKLOG_WINDOW_S
            and now - self._last_tick_s > _LATE_TICK_INTERVAL_S
        ):
            self._stall_ended_s = now
        self._last_tick_s = now

    def received_at(self) -> float:
        """Returns the earliest time at which a request read now can have arrived."""
        now = self._clock()
        # Sockets are read before the first tick after a stall.
        if now - self._last_tick_s > _STALL_THRESHOLD_S:
            return self._last_tick_s
        if now - self._stall_ended_s < _BACKLOG_WINDOW_S:
            return self._stall_began_s
        return now

    async def run(self) -> None:
        """Ticks at regular intervals until it is cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(_TICK_INTERVAL_S)
