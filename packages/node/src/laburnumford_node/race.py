"""Runs two attempts of one call side by side."""

import asyncio
from collections.abc import Callable

from laburnumford_node import errors, exchange

Attempt = asyncio.Task[exchange.Exchange]


async def race(
    first: Attempt, delay_s: float, start_second: Callable[[], Attempt | None]
) -> exchange.Exchange:
    """Returns the exchange of the first attempt that is answered; the other one is cancelled.

    Args:
        first: running attempt.
        delay_s: seconds after which a second attempt may start.
        start_second: starts the second attempt, or returns None if there is to be none.

    Raises:
        AttemptError: no attempt was answered. An unknown outcome goes before a refusal.
    """
    attempts = [first]
    winner: Attempt | None = None
    try:
        await asyncio.wait(attempts, timeout=delay_s)
        if not first.done():
            second = start_second()
            if second is not None:
                attempts.append(second)
        pending = set(attempts)
        while pending and winner is None:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            winner = next((one for one in attempts if one in done and _answered(one)), None)
        if winner is None:
            raise _worst(attempts)
        return winner.result()
    finally:
        await _cancel([one for one in attempts if one is not winner])


def _answered(attempt: Attempt) -> bool:
    return not attempt.cancelled() and attempt.exception() is None


def _worst(attempts: list[Attempt]) -> BaseException:
    """Returns the failure that says least about whether the request ran."""
    failures = [found for one in attempts if (found := one.exception()) is not None]
    unexpected = [one for one in failures if not isinstance(one, errors.AttemptError)]
    unknown = [one for one in failures if isinstance(one, errors.UnknownOutcomeError)]
    return (unexpected or unknown or failures)[0]


async def _cancel(attempts: list[Attempt]) -> None:
    for attempt in attempts:
        attempt.cancel()
    for ended in await asyncio.gather(*attempts, return_exceptions=True):
        if isinstance(ended, exchange.Exchange):
            ended.abandon()
