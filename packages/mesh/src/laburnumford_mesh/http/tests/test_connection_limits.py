"""Tests of the limits on connections and descriptors of a listener."""

import asyncio
import os

import pytest

from laburnumford_mesh.http import acceptor, answer, buffer_budget, edge_server
from laburnumford_mesh.http.tests import conftest
from laburnumford_mesh.tests import waiting

GET = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
MAX_CONNECTIONS = 3


def _make_server(log, *, max_descriptors=None):
    async def handle(_):
        return answer.Answer(status=200, reason=b"OK", fields=(), body=b"")

    return edge_server.EdgeServer(
        address="127.0.0.1:0",
        handler=handle,
        limits=lambda: conftest.SMALL_LIMITS,
        max_connections=MAX_CONNECTIONS,
        max_descriptors=max_descriptors,
        budget=buffer_budget.BufferBudget(max_bytes=100_000),
        log=log,
    )


async def _connect(server):
    return conftest.Caller(*await asyncio.open_connection("127.0.0.1", server.port))


async def _read_to_end(caller):
    """Returns what is received; a connection that is closed on accept may end with a reset."""
    try:
        return await caller.read_until_closed()
    except ConnectionResetError:
        return b""


async def test_connections_above_the_limit_are_closed_and_not_served(log):
    """Guards against connections that are served without being tracked (review/5)."""
    server = _make_server(log)
    await server.start()
    callers = [await _connect(server) for _ in range(MAX_CONNECTIONS)]
    await waiting.until(lambda: server.connection_count == MAX_CONNECTIONS)
    refused = await _connect(server)
    refused.send(GET)
    assert await _read_to_end(refused) == b""
    assert server.refused_count == 1
    callers[0].writer.close()
    await waiting.until(lambda: server.connection_count == MAX_CONNECTIONS - 1)
    admitted = await _connect(server)
    admitted.send(GET)
    assert (await admitted.read_answer())[0] == 200
    await server.close()


async def test_accepting_pauses_while_descriptors_are_short(log):
    """Guards against a listener that takes the last descriptors of the process."""
    probe = os.open("/dev/null", os.O_RDONLY)
    os.close(probe)
    # The callers of this test are in the same process, so that each connection takes two.
    server = _make_server(log, max_descriptors=probe + 4)
    await server.start()
    first = await _connect(server)
    first.send(GET)
    assert (await first.read_answer())[0] == 200
    held = [os.open("/dev/null", os.O_RDONLY) for _ in range(4)]
    refused = await _connect(server)
    assert await _read_to_end(refused) == b""
    for descriptor in held:
        os.close(descriptor)
    for each in (first, refused):
        each.writer.close()
    await waiting.until(lambda: server.connection_count == 0)
    later = await _connect(server)
    later.send(GET)
    assert (await later.read_answer())[0] == 200
    await server.close()


async def test_caller_that_leaves_at_once_is_not_kept(log):
    """Guards against connections of callers that have reset them before they are served."""
    server = _make_server(log)
    await server.start()
    for _ in range(5 * MAX_CONNECTIONS):
        caller = await _connect(server)
        caller.writer.transport.abort()
    await waiting.until(lambda: server.connection_count == 0)
    caller = await _connect(server)
    caller.send(GET)
    assert (await caller.read_answer())[0] == 200
    await server.close()


@pytest.mark.parametrize("count", [acceptor._MAX_ACCEPTS * 2 + 1])
async def test_burst_is_refused_without_holding_descriptors(log, count):
    """Guards against descriptors that a burst above the limit holds or leaks."""
    server = _make_server(log)
    await server.start()
    before = len(os.listdir("/proc/self/fd"))
    callers = await asyncio.gather(*(_connect(server) for _ in range(count)))
    await waiting.until(lambda: server.refused_count == count - MAX_CONNECTIONS, within_s=5.0)
    assert len(os.listdir("/proc/self/fd")) <= before + count + MAX_CONNECTIONS
    for each in callers:
        each.writer.close()
    await server.close()
