"""Tells how old received requests may be after the process was paused."""

import asyncio
from collections.abc import Callable

_TICK_S = 0.04
_THRESHOLD_S = 0.1
"""Several ticks, as a busy event loop delays ticks too."""

_BACKLOG_S = 0.1
"""Requests read this long after a stall may still have waited in the kernel during it."""

_LATE_TICK_S = 0.06
"""Ticks this far apart show that the node still works through what waited."""


class StallClock:
    """Dates requests from the start of a stall of the event loop, if there was one.

    A request that is read after a pause of the process waited in the kernel for an
    unknown part of it, while its caller may have given up. Dating it from the start of
    the pause never makes it look younger than it is.

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
        """Forgets the time before the node takes requests, which is no stall.

        A node may wait for seconds for its first version; without this, requests right
        after it were dated from before that wait and given up at once.
        """
        self._last_tick_s = self._clock()

    def tick(self) -> None:
        """Takes a regular tick of the event loop."""
        now = self._clock()
        if now - self._last_tick_s > _THRESHOLD_S:
            self._stall_began_s = self._last_tick_s
            self._stall_ended_s = now
            self.stalls_count += 1
        elif now - self._stall_ended_s < _BACKLOG_S and now - self._last_tick_s > _LATE_TICK_S:
            self._stall_ended_s = now
        self._last_tick_s = now

    def received_at(self) -> float:
        """Returns the earliest time at which a request read now can have arrived."""
        now = self._clock()
        # Sockets are read before the first tick after a stall.
        if now - self._last_tick_s > _THRESHOLD_S:
            return self._last_tick_s
        if now - self._stall_ended_s < _BACKLOG_S:
            return self._stall_began_s
        return now

    async def run(self) -> None:
        """Ticks for as long as the node runs."""
        while True:
            self.tick()
            await asyncio.sleep(_TICK_S)
