"""Tests of the backend server of a node whose zone is evacuated."""

import asyncio

from laburnumford_mesh import cold_start, frames
from laburnumford_mesh.tests import conftest, waiting
from laburnumford_mesh.tests.test_local_server import local  # noqa: F401


async def test_waiting_requests_are_refused_and_running_ones_finish(local, backend):  # noqa: F811
    """Guards against requests that leave the queue for an evacuated zone, and against aborts."""
    backend.gate.clear()
    calls = [
        asyncio.create_task(
            local.run(conftest.make_request(str(number), remaining_s=8.0, soft_remaining_s=6.0))
        )
        for number in range(conftest.SLOTS + 3)
    ]
    await waiting.until(lambda: len(backend.runs) == local.limit and local.waiting)
    local.observe_evacuation(evacuated=True)
    refused, running = await asyncio.wait(calls, timeout=1.0)
    assert {each.result().reason for each in refused} == {"zone-evacuated"}
    assert (await local.run(conftest.make_request("late"))).reason == "zone-evacuated"
    backend.gate.set()
    answered = await asyncio.gather(*running)
    assert all(isinstance(each, frames.Answer) for each in answered)
    assert len(backend.runs) == len(running)


async def test_evacuated_server_gets_no_health_check(local, backend):  # noqa: F811
    """Guards against health checks, because nothing more may be sent to the zone.

    Without an answered one since the evacuation the server counts as cold, and a check is due.
    """
    local.set_cold_start(cold_start.ColdStart(per_s=8.0, duration_s=3.0))
    await waiting.until(lambda: not local.cold)
    await local.run(conftest.make_request("0"))
    await waiting.until(lambda: local._probe is None)
    local.observe_evacuation(evacuated=True)
    seen = backend.health_checks
    # The id of the server is no longer trusted, so that a request for another one would probe.
    await asyncio.sleep(0.25)
    for number in range(3):
        found = await local.run(conftest.make_request(str(number), server_id="other"))
        assert found.reason == "zone-evacuated"
        await asyncio.sleep(0.03)
    assert backend.health_checks == seen
    local.observe_evacuation(evacuated=False)
    assert isinstance(await local.run(conftest.make_request("9")), frames.Answer)


async def test_evacuation_that_begins_while_a_connection_opens_stops_the_request(
    local,  # noqa: F811
    backend,
    monkeypatch,
):
    """Guards against a request that is sent because it had left the queue before."""
    acquire = local._acquire_connection

    async def acquire_late(request, request_id):
        connection = await acquire(request, request_id)
        local.observe_evacuation(evacuated=True)
        return connection

    monkeypatch.setattr(local, "_acquire_connection", acquire_late)
    found = await local.run(conftest.make_request("0"))
    assert found.reason == "zone-evacuated"
    assert backend.runs == []
    assert local.running == 0
