"""Tests of requests that come late in the grace period of a stopping node (issue 40)."""

import asyncio
import contextlib

import pytest

from laburnumford_mesh import clock, frames
from laburnumford_mesh.tests import conftest, waiting
from laburnumford_mesh.tests.test_local_server import local  # noqa: F401
from laburnumford_policy.placement import stop_window

_LONG_WORK_S = 1.6
"""A request that is sent at half of the grace period and takes this long is cut at its end."""


@pytest.fixture
async def pair(fleet):
    """Returns a fleet of two nodes whose route has a time-out beyond the grace period."""
    fleet.publish("op/config", conftest.make_configuration(timeout_s=8.0))
    addresses = [await fleet.add(index) for index in range(2)]
    for address in addresses:
        await fleet.wait_until_ready(address)
    await waiting.until(
        lambda: all(made.server_count("s") == 2 for made in fleet.nodes), within_s=8.0
    )
    return fleet, addresses


async def _hold(ip):
    """Returns a connection with an incomplete request, which keeps a stopping node open."""
    _, writer = await asyncio.open_connection(ip, 17000)
    writer.write(b"POST /post/1 HTTP/1.1\r\nHost: h\r\nX-Id: hold\r\nContent-Length: 2\r\n\r\n1")
    await writer.drain()
    await asyncio.sleep(0.1)
    return writer


async def _send(fleet, ip, request_id):
    """Returns the status of the answer, None if the connection ended without one."""
    with contextlib.suppress(OSError, ValueError, IndexError):
        return (await fleet.request(ip, "POST", "/post/1", request_id))[0]
    return None


@pytest.mark.parametrize("known", [True, False])
async def test_request_that_would_be_cut_is_refused_and_does_not_run(pair, known):
    """Guards against bookings that a stopping node takes, passes on and never answers."""
    fleet, (ip, _) = pair
    for backend in fleet.backends:
        backend.service_time_s = _LONG_WORK_S
    if known:
        assert await _send(fleet, ip, "first") == 200
    held = await _hold(ip)
    fleet.nodes[0].request_stop()
    await asyncio.sleep(0.42 * conftest.GRACE_S)
    statuses = await asyncio.gather(*(_send(fleet, ip, f"late-{index}") for index in range(6)))
    assert statuses == [503] * 6
    held.close()
    ran = [run for backend in fleet.backends for run in backend.runs]
    assert not any(run.startswith("late") for run in ran)


async def test_request_that_can_be_answered_is_still_taken(pair):
    """Guards against a stopping node that refuses what it has time for."""
    fleet, (ip, _) = pair
    for backend in fleet.backends:
        backend.service_time_s = 0.2
    assert await _send(fleet, ip, "first") == 200
    held = await _hold(ip)
    fleet.nodes[0].request_stop()
    await asyncio.sleep(0.3 * conftest.GRACE_S)
    assert await _send(fleet, ip, "late") == 200
    held.close()


async def test_request_of_another_node_that_would_be_cut_does_not_run(pair):
    """Guards against work beside a stopping node whose answer the sender never gets."""
    fleet, (ip, other) = pair
    fleet.backends[0].service_time_s = _LONG_WORK_S
    draining = conftest.make_entry("server-1", fleet.backends[1].address, draining=True)
    fleet.publish("servers/1", draining)
    await waiting.until(
        lambda: all(made.server_count("s") == 1 for made in fleet.nodes), within_s=8.0
    )
    assert await _send(fleet, other, "first") == 200
    held = await _hold(ip)
    fleet.nodes[0].request_stop()
    await asyncio.sleep(0.42 * conftest.GRACE_S)
    assert await _send(fleet, other, "late") == 503
    held.close()
    assert fleet.backends[0].runs == ["first"]


async def test_waiting_request_that_would_be_cut_is_refused(local, backend):  # noqa: F811
    """Guards against a request that waits for a slot, starts late in the grace and is cut."""
    backend.gate.clear()
    tasks = [
        asyncio.create_task(local.run(conftest.make_request(str(index), remaining_s=8.0)))
        for index in range(conftest.SLOTS + 2)
    ]
    await waiting.until(lambda: local.waiting)
    window = stop_window.StopWindow(started_s=clock.now(), grace_s=1.0)
    local.begin_stop(window)
    await waiting.until(lambda: not local.waiting)
    backend.gate.set()
    results = await asyncio.gather(*tasks)
    refused = [each.reason for each in results if isinstance(each, frames.Refusal)]
    assert refused
    assert set(refused) == {"leaving"}
    assert len(backend.runs) + len(refused) == len(tasks)
