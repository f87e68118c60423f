"""Tests of the helper for real processes."""

import time

import pytest

from laburnumford_testkit import errors, processes


async def test_ready_port_is_parsed_and_stop_ends_the_process(start_process):
    """Fails if a test cannot learn the port or leaves a process behind."""
    process = await start_process("backend")
    assert process.port
    assert process.running
    assert process.resident_bytes() > 1_000_000
    assert await process.stop() == 0
    assert not process.running


async def test_start_reports_the_output_of_a_process_that_ends(tmp_path):
    """Fails if a process that cannot start looks like a timeout without a reason."""
    process = processes.process.Process(
        name="bad",
        module="laburnumford_testkit.backend",
        arguments=["--slots", "many"],
        folder=tmp_path,
    )
    with pytest.raises(errors.ProcessError, match="'many' is not a valid integer"):
        await process.start()


async def test_start_is_bounded_in_time(tmp_path):
    """Fails if a process that is never ready blocks the test run."""
    process = processes.process.Process(
        name="mute",
        module="laburnumford_testkit.backend",
        folder=tmp_path,
        ready="never printed",
    )
    begin = time.monotonic()
    try:
        with pytest.raises(errors.ProcessError, match="not ready after"):
            await process.start(timeout_s=1.0)
    finally:
        process.kill()
    assert time.monotonic() - begin < 5


async def test_pause_and_resume(start_process):
    """Fails if a paused process goes on, or cannot be killed."""
    process = await start_process("backend")
    process.pause()
    with pytest.raises(errors.ProcessError, match="still runs"):
        await process.stop(timeout_s=0.5)
    process.resume()
    assert await process.wait(5) == 0
    await process.start()
    process.pause()
    process.kill()
    assert not process.running


def test_addresses_are_distinct_and_on_loopback():
    """Fails if two processes of a test would get one address."""
    found = processes.addresses.free_addresses(50)
    assert len(set(found)) == 50
    assert all(address.startswith("127.") for address in found)
