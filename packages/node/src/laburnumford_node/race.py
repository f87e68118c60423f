"""Runs two attempts of a call concurrently and takes the first answer (hedged request)."""

import asyncio
from collections.abc import Awaitable, Callable

from laburnumford_node import errors, exchange

Attempt = asyncio.Task[exchange.Exchange]


async def race(
    first: Awaitable[exchange.Exchange],
    delay_s: float,
    start_second: Callable[[], Attempt | None],
) -> exchange.Exchange:
    """Returns the exchange of the attempt that is answered first; cancels the other one.

    The first attempt runs in the calling task, so that a call that is not slow costs only a
    timer. An answer of the second attempt cancels the calling task, and `race` consumes that
    cancellation, as `asyncio.timeout` does.

    Args:
        first: first attempt, not started yet.
        delay_s: seconds after which a second attempt may start.
        start_second: starts the second attempt, or returns None if there is to be none.

    Raises:
        AttemptError: no attempt was answered. An unknown outcome takes precedence over a
            refusal.
    """
    running = _Race(start_second)
    timer = asyncio.get_running_loop().call_later(delay_s, running.start_second)
    try:
        found = await first
    except asyncio.CancelledError:
        return await running.resume_after_cancel()
    except errors.AttemptError as failure:
        running.end_first()
        return await running.wait_second(failure)
    finally:
        timer.cancel()
        running.end_first()
    await running.cancel_second()
    return found


class _Race:
    """Runs the second attempt and interrupts the task of the first one when it is answered."""

    def __init__(self, start_second: Callable[[], Attempt | None]) -> None:
        self._start_second = start_second
        self._task = asyncio.current_task()
        self._second: Attempt | None = None
        self._first_running = True
        self._interrupted = False

    def start_second(self) -> None:
        """Starts the second attempt unless the callback returns None."""
        self._second = self._start_second()
        if self._second is not None:
            self._second.add_done_callback(self._on_second_done)

    def end_first(self) -> None:
        """Records the end of the first attempt; the second one no longer interrupts the task."""
        self._first_running = False

    async def resume_after_cancel(self) -> exchange.Exchange:
        """Returns the answer of the second attempt if that answer cancelled the first one.

        Raises:
            CancelledError: the caller of the race was cancelled.
        """
        self.end_first()
        second = self._second
        cancelled_by_second = (
            self._interrupted and self._task is not None and self._task.uncancel() == 0
        )
        if cancelled_by_second and second is not None:
            return second.result()
        await self.cancel_second()
        raise asyncio.CancelledError

    async def wait_second(self, failure: errors.AttemptError) -> exchange.Exchange:
        """Returns the answer of the second attempt after the first one has failed.

        Raises:
            AttemptError: both attempts failed, or there is only one. An unknown outcome
                takes precedence over a refusal.
        """
        second = self._second
        if second is None:
            raise failure
        try:
            await asyncio.wait({second})
        except asyncio.CancelledError:
            await self.cancel_second()
            raise
        error = second.exception()
        if error is None:
            return second.result()
        if isinstance(failure, errors.UnknownOutcomeError) and isinstance(
            error, errors.AttemptError
        ):
            raise failure
        raise error

    async def cancel_second(self) -> None:
        """Cancels the second attempt and abandons an answer that it has received meanwhile."""
        second = self._second
        if second is None:
            return
        second.cancel()
        (ended,) = await asyncio.gather(second, return_exceptions=True)
        if isinstance(ended, exchange.Exchange):
            ended.abandon()

    def _on_second_done(self, second: Attempt) -> None:
        answered = not second.cancelled() and second.exception() is None
        if answered and self._first_running and self._task is not None:
            self._interrupted = True
            self._task.cancel()
