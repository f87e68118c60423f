"""Tests of fair sharing at the node beside a server.

Load pattern: one caller queues far more than the server can run, while another asks for little.
"""

import asyncio
import json
from typing import Any

import pytest

from laburnumford_mesh import frames, local_server, metrics
from laburnumford_mesh.http import read_limits
from laburnumford_mesh.tests import conftest, waiting

_SERVICE_TIME_S = 0.1


@pytest.fixture
def counters():
    """Returns metrics."""
    return metrics.Metrics()


@pytest.fixture
async def local(backend, log, counters):
    """Returns a local server with fair sharing."""
    made = local_server.LocalServer(
        address=backend.address,
        names=conftest.NAMES,
        log=log,
        limits=read_limits.ReadLimits(),
        buffer_bytes=150_000,
        on_load_change=lambda: None,
        share_counters=counters,
    )
    made.apply(server_id="a", slots=conftest.SLOTS, health_path="")
    yield made
    made.close()


def _request(request_id, vm, **changes):
    values = {
        "service_time_s": _SERVICE_TIME_S,
        "remaining_s": 20.0,
        "soft_remaining_s": 1.0,
        "caller_vm": vm,
        "caller_connection": 1,
    }
    return conftest.make_request(request_id, **(values | changes))


async def _fill(local, backend, **changes):
    """Queues requests of VM f until the node refuses one; returns their tasks and the refusal."""
    backend.gate.clear()
    tasks: list[asyncio.Task[Any]] = []
    while True:
        request = _request(f"f{len(tasks)}", "f", **changes)
        task = asyncio.create_task(local.run(request))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        if task.done():
            break
        tasks.append(task)
    await waiting.until(lambda: len(backend.runs) == local.limit)
    return tasks, task.result()


async def test_displaced_request_is_refused_and_never_runs(local, backend, counters):
    """Guards against a refusal of a request that runs, and against a flood that keeps its place."""
    flood, refusal = await _fill(local, backend, soft_remaining_s=0.6)
    assert (refusal.reason, refusal.share_level) == ("overloaded", 0)
    requests = [_request(f"o{i}", f"vm-{i % 3}") for i in range(18)]
    others = [asyncio.create_task(local.run(request)) for request in requests]
    await waiting.until(lambda: any(task.done() for task in flood))
    displaced = [task.result() for task in flood if task.done()]
    assert {each.reason for each in displaced} == {"overloaded"}
    assert min(each.retry_after_s for each in displaced) > 0
    assert f'displaced_requests_total{{kind="k"}} {len(displaced)}' in counters.render({})
    backend.gate.set()
    results = await asyncio.gather(*flood, *others)
    answered = [each for each in results if isinstance(each, frames.Answer)]
    assert len(backend.runs) == len(set(backend.runs)) == len(answered)
    refusal_count = 1 + len(results) - len(answered)
    assert f'overload_refusals_total{{kind="k"}} {refusal_count}' in counters.render({})
    refused_ids = {f"f{i}" for i, each in enumerate(flood) if each.result() in displaced}
    assert refused_ids
    assert not refused_ids & set(backend.runs)
    assert local.running == 0


async def test_refusal_tells_that_the_caller_is_above_its_share(local, backend):
    """Guards against a sender that goes on to ask the server for a flooding caller."""
    flood, _ = await _fill(local, backend)
    other = asyncio.create_task(local.run(_request("o", "o")))
    await waiting.until(lambda: local.waiting == len(flood) + 1 - local.limit)
    again = await local.run(_request("f", "f"))
    assert (again.reason, again.share_level) == ("overloaded", 2)
    assert again.retry_after_s > 0.1
    backend.gate.set()
    await asyncio.gather(other, *flood)


async def test_request_of_an_accepted_offer_is_not_displaced(local, backend):
    """Guards against refusing a request whose body was sent because its offer was accepted."""
    await _fill(local, backend)
    kept = asyncio.create_task(local.run(_request("kept", "f", offer_accepted=True)))
    await asyncio.sleep(0)
    others = [asyncio.create_task(local.run(_request(f"o{i}", "o"))) for i in range(6)]
    await asyncio.sleep(0.05)
    assert not kept.done()
    backend.gate.set()
    assert isinstance(await kept, frames.Answer)
    await asyncio.gather(*others)


async def test_cancelled_request_frees_its_share(local, backend):
    """Guards against a share that stays used by requests whose caller has disconnected."""
    flood, _ = await _fill(local, backend)
    for task in flood:
        task.cancel()
    await asyncio.gather(*flood, return_exceptions=True)
    backend.gate.set()
    await waiting.until(lambda: local.running == 0)
    found = await asyncio.gather(*(local.run(_request(f"g{i}", "f")) for i in range(8)))
    assert all(isinstance(each, frames.Answer) for each in found)


async def test_log_of_exceeded_shares_is_bounded(local, backend, tmp_path):
    """Guards against a flood that fills the log with a line for each refusal."""
    flood, _ = await _fill(local, backend)
    others = [asyncio.create_task(local.run(_request(f"o{i}", "o"))) for i in range(3)]
    await waiting.until(lambda: local.waiting == len(flood) + 3 - local.limit)
    for index in range(100):
        await local.run(_request(f"again{index}", "f"))
    backend.gate.set()
    await asyncio.gather(*others, *flood)
    lines = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    exceeded = [line for line in lines if line["event"] == "share_exceeded"]
    assert 1 <= len(exceeded) <= 5
    assert (exceeded[0]["request_class"], exceeded[0]["vm"]) == ("k", "f")
    assert exceeded[0]["usage_s"] > exceeded[0]["share_s"] > 0


async def test_server_without_shares_displaces_nothing(backend, log):
    """Guards against a changed behavior of deployments that do not call for shares."""
    plain = local_server.LocalServer(
        address=backend.address,
        names=conftest.NAMES,
        log=log,
        limits=read_limits.ReadLimits(),
        buffer_bytes=150_000,
        on_load_change=lambda: None,
    )
    plain.apply(server_id="a", slots=conftest.SLOTS, health_path="")
    flood, _ = await _fill(plain, backend)
    found = await plain.run(_request("o", "o"))
    assert (found.reason, found.share_level) == ("overloaded", 0)
    assert not any(task.done() for task in flood)
    backend.gate.set()
    await asyncio.gather(*flood)
    plain.close()


def test_frames_of_older_nodes_have_no_caller():
    """Guards against a mixed fleet in which frames without the new fields are dropped."""
    request = conftest.make_request()
    known = frames.decode(frames.encode(request))
    assert (known.caller_vm, known.caller_connection) == ("", 0)
    load = frames.LoadReport("a", 1, 0, 0, 1, 1.0, 0.0, 0.0)
    newer = frames.encode(frames.Refusal(1, "overloaded", 0.1, load, 2))
    older = newer[:-1].replace(b"\x96", b"\x95", 1)
    assert frames.decode(newer).share_level == 2
    assert frames.decode(older).share_level == 0
