"""Tests of concurrent attempts of a call, and of the latency after which the second starts."""

import asyncio

import pytest

from laburnumford_node import errors, exchange, latency_window, race, reason


class Exchange(exchange.Exchange):
    """An exchange without a connection."""

    def __init__(self):
        self.abandoned = False

    def abandon(self):
        """Records that the exchange was abandoned."""
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
        """Returns a task that runs the attempt."""
        return asyncio.create_task(self._run())


def refused():
    """Returns a refusal, which proves that the request did not run."""
    return errors.RefusedError(reason.Reason.OVERLOADED, "")


def unknown():
    """Returns a failure after which the request may have run."""
    return errors.UnknownOutcomeError(reason.Reason.SERVER_FAILED, "")


async def test_fast_attempt_starts_no_second_one():
    """Guards against sending calls twice that are not slow."""
    first = Attempt(0.0)
    found = await race.race(first.start(), 0.5, lambda: pytest.fail("started"))
    assert found is first.exchange


async def test_slow_attempt_loses_and_is_cancelled():
    """Guards against a slow attempt that goes on after the other one was answered."""
    first, second = Attempt(5.0), Attempt(0.01)
    found = await race.race(first.start(), 0.01, second.start)
    assert found is second.exchange
    assert first.cancelled


async def test_second_answer_in_the_same_loop_iteration_is_abandoned():
    """Guards against a connection that is never released because nobody reads its answer."""
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
    """Guards against ending a call that the first server can answer when the second refuses."""
    first, second = Attempt(0.05), Attempt(0.0, refused())
    assert await race.race(first.start(), 0.01, second.start) is first.exchange


@pytest.mark.parametrize("error_factories", [(refused, unknown), (unknown, refused)])
async def test_unknown_outcome_takes_precedence_over_a_refusal(error_factories):
    """Guards against reporting a call that may have run as not run."""
    first, second = (Attempt(0.02, error()) for error in error_factories)
    with pytest.raises(errors.UnknownOutcomeError):
        await race.race(first.start(), 0.01, second.start)


async def test_cancelled_call_cancels_both_attempts():
    """Guards against attempts that go on after the caller has left."""
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


async def test_answer_of_second_attempt_leaves_calling_task_uncancelled():
    """Guards against a cancellation of the first attempt that also ends the caller's next wait."""
    second = Attempt(0.01)
    assert await race.race(_never(), 0.01, second.start) is second.exchange
    await asyncio.sleep(0)
    task = asyncio.current_task()
    assert task is not None
    assert task.cancelling() == 0


async def test_caller_cancelled_as_the_second_attempt_is_answered():
    """Guards against a lost cancellation of the caller and an unreleased connection."""
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


def test_p95_covers_the_latest_latencies():
    """Guards against hedges that start too early or at a delay taken from old latencies."""
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
