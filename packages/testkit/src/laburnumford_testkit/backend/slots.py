"""Slots of a backend server."""

import asyncio
import collections


class Slots:
    """Admits a bounded number of requests, with a short queue behind them.

    Args:
        slots: requests that run at the same time.
        queue: requests that wait for a slot; further ones are shed.
    """

    def __init__(self, *, slots: int, queue: int) -> None:
        self.slots = slots
        self.running = 0
        self.peak_running = 0
        self.shed = 0
        self._queue = queue
        self._waiting: collections.deque[asyncio.Future[None]] = collections.deque()

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    async def acquire(self) -> bool:
        """Waits for a slot, or returns False at once if the queue is full."""
        if self.running < self.slots:
            self._take()
            return True
        if len(self._waiting) >= self._queue:
            self.shed += 1
            return False
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release()
            elif turn in self._waiting:
                # `release` may have dropped the cancelled turn before this task ran again.
                self._waiting.remove(turn)
            raise
        return True

    def release(self) -> None:
        """Gives a slot back."""
        self.running -= 1
        while self._waiting and self.running < self.slots:
            turn = self._waiting.popleft()
            if not turn.done():
                self._take()
                turn.set_result(None)

    def _take(self) -> None:
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
