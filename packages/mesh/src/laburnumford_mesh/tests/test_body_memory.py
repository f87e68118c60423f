"""Tests of the memory that a node uses for bodies from other nodes."""

import asyncio
import contextlib

import pytest

from laburnumford_mesh.tests import conftest, node_process

MEMORY_BYTES = 130_000_000
UPLOAD_BYTES = 20_000_000
SENDER_COUNT = 6
LARGEST_BODY_BYTES = 64 * 1024 * 1024


@contextlib.asynccontextmanager
async def _measured_node(fleet, memory_bytes, sender_count):
    """Yields a node process, its backend server and the addresses of nodes that send to it."""
    ip = fleet.ip(0)
    backend = conftest.Backend(node_process.SERVER_ID)
    await backend.start(f"{ip}:0")
    process = node_process.NodeProcess(ip, backend.address, memory_bytes)
    await process.start()
    fleet.publish("op/config", node_process.CONFIGURATION)
    fleet.publish("servers/0", conftest.make_entry(backend.server_id, backend.address))
    senders = [
        await fleet.add(index, service="other", memory_bytes=400_000_000)
        for index in range(1, sender_count + 1)
    ]
    try:
        for each in (ip, *senders):
            await fleet.wait_until_ready(each)
        yield process, backend, senders
    finally:
        backend.gate.set()
        await process.stop()
        backend.stop()


@pytest.fixture
async def measured(fleet):
    """Returns a node process, its backend server and the addresses of nodes that send to it."""
    async with _measured_node(fleet, MEMORY_BYTES, SENDER_COUNT) as found:
        yield found


async def test_bodies_from_many_nodes_stay_within_the_memory(fleet, measured):
    """Guards against a node that is killed because other nodes send it large bodies (issue 31).

    Bodies that came from callers were bounded, but those from other nodes were not. The peak of
    the process is compared with the memory in its settings. Each upload runs at most once, and a
    refused one never.
    """
    process, backend, senders = measured
    backend.gate.clear()
    uploads = [
        asyncio.create_task(
            fleet.request(ip, "POST", "/post/1", f"u{index}", body=bytes(UPLOAD_BYTES))
        )
        for index, ip in enumerate(senders)
    ]
    await asyncio.wait(uploads, timeout=3.0)
    backend.gate.set()
    results = await asyncio.gather(*uploads)
    assert process.alive
    assert process.peak_bytes() < MEMORY_BYTES
    served = {f"u{index}" for index, (status, *_) in enumerate(results) if status == 200}
    assert served
    assert sorted(backend.runs) == sorted(served)
    assert all(status == 503 for status, *_ in results if status != 200)
    status, _, _ = await fleet.request(senders[0], "GET", "/get/1", "small")
    assert status == 200


@pytest.mark.parametrize("memory_mb", [200, 300])
@pytest.mark.parametrize("entry", ["same node", "other node"])
async def test_largest_body_passes_on_a_small_vm(fleet, memory_mb, entry):
    """Guards against a body of the published size that is refused, or ends the node, without load.

    The body enters at the node beside the server, or at another one.
    """
    memory_bytes = memory_mb * 1024 * 1024
    async with _measured_node(fleet, memory_bytes, 1) as (process, backend, senders):
        ip = fleet.ip(0) if entry == "same node" else senders[0]
        body = bytes(LARGEST_BODY_BYTES)
        status, _, _ = await fleet.request(ip, "POST", "/post/1", "u", body=body)
        assert status == 200
        assert backend.runs == ["u"]
        assert process.alive
        assert process.peak_bytes() < memory_bytes
