"""Tests of tasks that must run as long as the node."""

import asyncio

import pytest

from laburnumford_mesh import supervision


async def test_failed_loop_is_logged_and_started_again(caplog):
    """Guards against a loop that ends for good, without a log line, by one unexpected error."""
    starts = []

    async def run():
        starts.append(True)
        if len(starts) == 1:
            raise OverflowError("too large")

    async with asyncio.timeout(5):
        await supervision.keep_running(run, name="reader")
    assert len(starts) == 2
    (logged,) = caplog.records
    assert "reader" in logged.getMessage()
    assert logged.exc_info[0] is OverflowError


async def test_cancelled_loop_is_not_started_again():
    """Guards against a loop that goes on after the node has closed."""
    started = asyncio.Event()

    async def run():
        started.set()
        await asyncio.sleep(60)

    task = asyncio.create_task(supervision.keep_running(run, name="reader"))
    await started.wait()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
