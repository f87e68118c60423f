"""Concurrency limit of a fake backend server."""

import asyncio
import collections


class Slots:
    """Limits the requests that run at the same time, with a bounded queue for further ones.

    Args:
        slots: maximum of requests that run at the same time.
        max_queued: maximum of requests that wait for a slot; further ones are shed.
    """

    def __init__(self, *, slots: int, max_queued: int) -> None:
        self.slots = slots
        self.running = 0
        self.peak_running = 0
        self.shed = 0
        self._max_queued = max_queued
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    async def acquire(self) -> bool:
        """Waits for a slot and returns True; returns False at once if the queue is full."""
        if self.running < self.slots:
            self._occupy_slot()
            return True
        if len(self._waiting) >= self._max_queued:
            self.shed += 1
            return False
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            elif waiter in self._waiting:
                # `release` may have removed the cancelled waiter before this task ran again.
                self._waiting.remove(waiter)
            raise
        return True

    def release(self) -> None:
        """Frees a slot and passes it to the first request that still waits."""
        self.running -= 1
        while self._waiting and self.running < self.slots:
            waiter = self._waiting.popleft()
            if not waiter.done():
                self._occupy_slot()
                waiter.set_result(None)

    def _occupy_slot(self) -> None:
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
