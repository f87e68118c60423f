"""Tests of servers that answer health checks without end."""

import asyncio
import contextlib

import pytest

from laburnumford_mesh import local_server
from laburnumford_mesh.http import buffer_budget, read_limits, server_connection
from laburnumford_mesh.http.tests import test_endless_answers
from laburnumford_mesh.tests import conftest, waiting

_MAX_BYTES_PER_CHECK = 512 * 1024
"""Bound on what is read for one health check: its limits and two reads of the transport."""

_BLOCK_BYTES = 64 * 1024
_ANSWERS = {
    name: answer
    for name, answer in test_endless_answers.ENDLESS_ANSWERS.items()
    if name != "answers to other requests"
}


class FloodingHealth(conftest.Backend):
    """Backend server that answers requests, and health checks with bytes without end.

    Attributes:
        flood: start of the answer to a health check and the pattern that follows it.
    """

    def __init__(self, server_id, flood):
        super().__init__(server_id)
        self.flood = flood

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if head.split(b" ")[1] != b"/health":
            reader.feed_data(b"")
            await self._serve_requests(head, reader, writer)
            return
        self.health_checks += 1
        start, pattern = self.flood
        with contextlib.suppress(ConnectionError):
            writer.write(start)
            while not writer.is_closing():
                writer.write(pattern * (_BLOCK_BYTES // len(pattern)))
                await writer.drain()
        writer.close()

    async def _serve_requests(self, head, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                lines = head.decode().split("\r\n")
                values = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
                writer.write(await self._answer(lines[0], values, reader))
                head = await reader.readuntil(b"\r\n\r\n")
        writer.close()


@pytest.fixture
def received(monkeypatch):
    """Returns a list of the sizes of all reads from servers."""
    sizes = []
    data_received = server_connection.ServerConnection.data_received

    def observed(self, data):
        sizes.append(len(data))
        data_received(self, data)

    monkeypatch.setattr(server_connection.ServerConnection, "data_received", observed)
    return sizes


@pytest.mark.parametrize("name", _ANSWERS)
async def test_endless_health_check_is_cut_off_and_requests_are_served(name, received, log):
    """Guards against a server that costs the node gigabytes with its health checks (issue 40)."""
    server = FloodingHealth("a", _ANSWERS[name])
    await server.start()
    budget = buffer_budget.of_process(300_000_000)
    local = local_server.LocalServer(
        address=server.address,
        names=conftest.NAMES,
        log=log,
        limits=read_limits.ReadLimits(),
        budget=budget,
        on_load_change=lambda: None,
    )
    local.apply(server_id="a", slots=conftest.SLOTS, health_path="/health")
    for index in range(12):
        assert (await local.run(conftest.make_request(str(index)))).status == 200
        await asyncio.sleep(0.04)
    await waiting.until(lambda: not budget.reserved_bytes)
    assert server.health_checks >= 2
    answer_bytes = 200 * 12
    assert sum(received) - answer_bytes <= server.health_checks * _MAX_BYTES_PER_CHECK
    local.close()
    server.stop()
