"""Tests of two attempts side by side."""

import asyncio

import pytest

from laburnumford_node import errors, exchange, latency_window, race, reason


class Exchange(exchange.Exchange):
    """An exchange without a connection."""

    def __init__(self):
        self.abandoned = False

    def abandon(self):
        """Notes the end."""
        self.abandoned = True


class Attempt:
    """An attempt that ends after `delay_s` seconds."""

    def __init__(self, delay_s, error=None):
        self.exchange = Exchange()
        self.cancelled = False
        self._delay_s = delay_s
        self._error = error

    async def _run(self):
        try:
            await asyncio.sleep(self._delay_s)
        except asyncio.CancelledError:
            self.cancelled = True
            raise
        if self._error is not None:
            raise self._error
        return self.exchange

    def start(self):
        """Returns the running task."""
        return asyncio.create_task(self._run())


def refused():
    """Returns a refusal with proof."""
    return errors.RefusedError(reason.Reason.OVERLOADED, "")


def unknown():
    """Returns a failure without proof."""
    return errors.UnknownOutcomeError(reason.Reason.SERVER_FAILED, "")


async def test_fast_attempt_starts_no_second_one():
    """Fails if calls that are not slow are sent twice."""
    first = Attempt(0.0)
    found = await race.race(first.start(), 0.5, lambda: pytest.fail("started"))
    assert found is first.exchange


async def test_slow_attempt_loses_and_is_cancelled():
    """Fails if the losing attempt goes on running."""
    first, second = Attempt(5.0), Attempt(0.01)
    found = await race.race(first.start(), 0.01, second.start)
    assert found is second.exchange
    assert first.cancelled


async def test_second_answer_of_the_same_turn_is_abandoned():
    """Fails if the connection of an answer that nobody reads is never given back."""
    first, second = Attempt(0.0), Attempt(0.0)
    gate = asyncio.Event()

    async def wait_then(attempt):
        await gate.wait()
        return attempt.exchange

    tasks = [asyncio.create_task(wait_then(attempt)) for attempt in (first, second)]

    def start_second():
        asyncio.get_running_loop().call_later(0.01, gate.set)
        return tasks[1]

    assert await race.race(tasks[0], 0.01, start_second) is first.exchange
    assert second.exchange.abandoned
    assert not first.exchange.abandoned


async def test_refused_hedge_leaves_the_first_attempt_running():
    """Fails if the refusal of the second server ends a call that the first can answer."""
    first, second = Attempt(0.05), Attempt(0.0, refused())
    assert await race.race(first.start(), 0.01, second.start) is first.exchange


@pytest.mark.parametrize("made", [(refused, unknown), (unknown, refused)])
async def test_unknown_outcome_goes_before_a_refusal(made):
    """Fails if a call that may have run is reported as not run."""
    first, second = (Attempt(0.02, error()) for error in made)
    with pytest.raises(errors.UnknownOutcomeError):
        await race.race(first.start(), 0.01, second.start)


async def test_cancelled_call_cancels_both_attempts():
    """Fails if attempts go on after the caller has left."""
    first, second = Attempt(5.0), Attempt(5.0)
    running = asyncio.create_task(race.race(first.start(), 0.01, second.start))
    await asyncio.sleep(0.05)
    running.cancel()
    with pytest.raises(asyncio.CancelledError):
        await running
    assert first.cancelled
    assert second.cancelled


async def _never():
    await asyncio.sleep(5.0)
    return Exchange()


async def test_won_race_leaves_the_task_of_the_caller_running():
    """Fails if the next wait of the caller ends with the cancellation meant for the loser."""
    second = Attempt(0.01)
    assert await race.race(_never(), 0.01, second.start) is second.exchange
    await asyncio.sleep(0)
    task = asyncio.current_task()
    assert task is not None
    assert task.cancelling() == 0


async def test_caller_that_leaves_as_the_second_attempt_is_answered():
    """Fails if the caller's cancellation is lost, or the answer's connection is not given back."""
    gate = asyncio.Event()
    exchange_of_second = Exchange()

    async def answer():
        await gate.wait()
        return exchange_of_second

    second = asyncio.create_task(answer())
    running = asyncio.create_task(race.race(_never(), 0.0, lambda: second))
    await asyncio.sleep(0.02)
    second.add_done_callback(lambda _: running.cancel())
    gate.set()
    with pytest.raises(asyncio.CancelledError):
        await running
    assert exchange_of_second.abandoned


def test_percentile_of_the_latest_latencies():
    """Fails if hedges start too early or follow old latencies."""
    subject = latency_window.LatencyWindow()
    for number in range(31):
        subject.observe(number / 1000)
    assert subject.p95_s == 0.0
    for number in range(31, 256):
        subject.observe(number / 1000)
    assert subject.p95_s == pytest.approx(0.243)
    for _ in range(256):
        subject.observe(1.0)
    assert subject.p95_s == 1.0
