"""Tests of the fault proxy, in this process and as a process of its own."""

import asyncio
import random
import re
import time

import pytest
import pytest_asyncio

from laburnumford_testkit import caller, errors, faultproxy

Call = caller.call.Call
Direction = faultproxy.faults.DirectionFaults
Faults = faultproxy.faults.Faults


@pytest_asyncio.fixture
async def proxied(start_server):
    """Yields a fake backend server and a proxy in front of it, both in this process."""
    server, address = await start_server(slots=100)
    async with faultproxy.proxy.FaultProxy(target=address, generator=random.Random(3)) as proxy:
        yield server, proxy


@pytest.fixture
def made(pool):
    """Returns a caller."""
    return caller.caller.Caller(pool=pool)


async def test_without_faults_bytes_pass_both_ways(proxied, made):
    """Fails if a proxy without faults changes or loses bytes."""
    server, proxy = proxied
    call = Call(method="POST", body_bytes=1_500_000, answer_bytes=1_500_000)
    assert (await made.call(call, proxy.address)).is_own_answer is True
    assert server.log.runs[0].body_bytes == 1_500_000


async def test_delay_and_jitter(proxied, made):
    """Fails if delays are missing or reorder bytes."""
    _, proxy = proxied
    proxy.set_faults(
        Faults(
            to_target=Direction(delay_s=0.1),
            to_caller=Direction(delay_s=0.05, jitter_s=0.05),
        )
    )
    begin = time.monotonic()
    assert (await made.call(Call(answer_bytes=500_000), proxy.address)).is_own_answer is True
    assert 0.15 <= time.monotonic() - begin < 3


async def test_bandwidth(proxied, made):
    """Fails if a bandwidth limit has no effect."""
    _, proxy = proxied
    proxy.set_faults(Faults(to_target=Direction(bytes_per_s=200_000)))
    begin = time.monotonic()
    record = await made.call(Call(method="POST", body_bytes=100_000), proxy.address)
    assert record.is_own_answer is True
    assert 0.45 < time.monotonic() - begin < 5


@pytest.mark.parametrize("fault", [Direction(reset_after=1000), Direction(truncate_after=1000)])
async def test_reset_and_truncation_leave_an_incomplete_answer(proxied, made, fault):
    """Fails if a caller accepts a truncated answer as complete."""
    _, proxy = proxied
    proxy.set_faults(Faults(to_caller=fault))
    record = await made.call(Call(answer_bytes=50_000), proxy.address)
    assert record.complete is False
    assert record.answer_bytes < 1000
    assert record.error
    assert proxy.terminated_connections == 1


async def test_truncation_towards_the_target_cancels_the_run(proxied, made):
    """Fails if the target does not detect that an upload was truncated."""
    server, proxy = proxied
    proxy.set_faults(Faults(to_target=Direction(truncate_after=10_000)))
    record = await made.call(Call(method="POST", body_bytes=100_000), proxy.address)
    assert record.complete is False
    await asyncio.sleep(0.05)
    assert [run.cancelled for run in server.log.runs] == [True]


async def test_blackhole_towards_the_caller_lets_the_request_run(proxied, made):
    """Fails if a one-way blackhole also stops the other direction, or hides that bytes are lost."""
    server, proxy = proxied
    proxy.set_faults(Faults(to_caller=Direction(blackhole=True)))
    calling = asyncio.create_task(made.call(Call(timeout_ms=5000), proxy.address))
    await asyncio.sleep(0.3)
    assert not calling.done()
    assert [run.answer_whole for run in server.log.runs] == [True]
    proxy.set_faults(Faults())
    record = await calling
    assert record.complete is False
    assert record.error != "timeout", "a stream with lost bytes must be reset when the fault ends"


async def test_blackhole_towards_the_target_keeps_the_request_from_running(proxied, made):
    """Fails if a request reaches the target through a blackhole."""
    server, proxy = proxied
    proxy.set_faults(Faults(to_target=Direction(blackhole=True)))
    record = await made.call(Call(timeout_ms=100), proxy.address)
    assert record.error == "timeout"
    assert server.log.runs == ()


async def test_pause_holds_bytes_and_delivers_them_later(proxied, made):
    """Fails if bytes are lost in a partition that heals."""
    server, proxy = proxied
    proxy.set_faults(Faults(to_target=Direction(pause=True)))
    calling = asyncio.create_task(made.call(Call(), proxy.address))
    await asyncio.sleep(0.2)
    assert server.log.runs == ()
    proxy.set_faults(Faults())
    assert (await calling).is_own_answer is True


async def test_duplicate_sends_the_same_bytes_on_a_second_connection(proxied, made):
    """Fails if the proxy does not replay a byte stream."""
    server, proxy = proxied
    proxy.set_faults(Faults(duplicate=True, duplicate_delay_s=0.1))
    record = await made.call(Call(method="POST", body_bytes=1000), proxy.address)
    assert record.is_own_answer is True
    assert len(server.log.runs) == 1
    await asyncio.sleep(0.3)
    assert [run.call_id for run in server.log.runs] == [record.call_id] * 2
    assert [run.body_bytes for run in server.log.runs] == [1000, 1000]


async def test_refuse_closes_new_connections(proxied, made):
    """Fails if a refused connection reaches the target."""
    server, proxy = proxied
    proxy.set_faults(Faults(refuse=True))
    record = await made.call(Call(), proxy.address)
    assert record.status is None
    assert server.connections == set()


async def test_faults_by_caller_leave_other_callers_alone(start_server, pool):
    """Fails if a fault between two processes also affects a third."""
    _, address = await start_server()
    names = iter(["a", "b"])
    async with faultproxy.proxy.FaultProxy(
        target=address, generator=random.Random(3), identify_source=lambda _remote: next(names)
    ) as proxy:
        proxy.set_faults(Faults(to_target=Direction(pause=True)), "a")
        made = caller.caller.Caller(pool=pool)
        paused = asyncio.create_task(made.call(Call(), proxy.address))
        await asyncio.sleep(0.1)
        assert (await made.call(Call(), proxy.address)).is_own_answer is True
        assert not paused.done()
        proxy.clear_source_faults()
        assert (await paused).is_own_answer is True


async def test_proxy_as_a_process(start_server, start_process, made):
    """Fails if the faults of a proxy in another process cannot be set."""
    _, address = await start_server()
    process = await start_process("faultproxy", "--target", address)
    admin = re.search(r"^admin (\d+)$", process.output(), re.MULTILINE)
    assert admin
    client = faultproxy.client.FaultProxyClient(url=f"http://127.0.0.1:{admin.group(1)}")
    target = f"127.0.0.1:{process.port}"
    assert (await made.call(Call(), target)).is_own_answer is True
    await client.set_faults(Faults(to_caller=Direction(delay_s=0.3)))
    begin = time.monotonic()
    assert (await made.call(Call(), target)).is_own_answer is True
    assert time.monotonic() - begin >= 0.3
    await client.set_faults(Faults(to_caller=Direction(truncate_after=20), refuse=True))
    assert (await made.call(Call(), target)).error


def test_unknown_fields_of_faults_are_rejected():
    """Fails if a misspelt fault leaves a test without its fault."""
    with pytest.raises(errors.TestkitError, match="unknown field 'delay'"):
        Faults.parse({"to_target": {"delay": 1}})
    with pytest.raises(errors.TestkitError, match="unknown field 'dupe'"):
        Faults.parse({"dupe": True})
    faults = Faults(to_caller=Direction(delay_s=1.0), duplicate=True)
    assert Faults.parse(faults.encode()) == faults
