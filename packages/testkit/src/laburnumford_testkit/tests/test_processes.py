"""Tests of the class that starts and controls real processes."""

import asyncio
import os
import pathlib
import sys
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
    """Fails if the error about a process that cannot start does not contain its output."""
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
        name="never-ready",
        module="laburnumford_testkit.backend",
        folder=tmp_path,
        ready_pattern="never printed",
    )
    begin = time.monotonic()
    try:
        with pytest.raises(errors.ProcessError, match="not ready after"):
            await process.start(timeout_s=1.0)
    finally:
        process.kill()
    assert time.monotonic() - begin < 5


async def test_pause_and_resume(start_process):
    """Fails if a paused process continues to run, or cannot be killed."""
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
    """Fails if two processes of a test get one address."""
    found = processes.addresses.free_addresses(50)
    assert len(set(found)) == 50
    assert all(address.startswith("127.") for address in found)


async def test_processes_end_with_the_process_that_started_them(tmp_path):
    """Fails if a killed test run leaves its processes running."""
    script = (
        "import asyncio, pathlib, sys, time\n"
        "from laburnumford_testkit.processes import process\n"
        "child = process.Process(name='b', module='laburnumford_testkit.backend',"
        " folder=pathlib.Path(sys.argv[1]))\n"
        "asyncio.run(child.start())\n"
        "print(child.pid, flush=True)\n"
        "time.sleep(60)\n"
    )
    starter = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-c", script, str(tmp_path)),
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert starter.stdout is not None
    async with asyncio.timeout(20):
        pid = int(await starter.stdout.readline())
    starter.kill()
    await starter.wait()
    deadline = time.monotonic() + 5
    while _is_running(pid):
        assert time.monotonic() < deadline, f"process {pid} still runs"
        await asyncio.sleep(0.05)


def _is_running(pid):
    """Returns whether a process runs and is not merely waiting to be reaped."""
    try:
        status = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    except FileNotFoundError:
        return False
    return status.rpartition(")")[2].split()[0] != "Z"
