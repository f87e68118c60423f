"""Tests of servers that write an earlier refusal once more on a kept connection (issue 30)."""

import asyncio
import contextlib
from typing import Any

import pytest

from laburnumford_mesh import frames, local_server
from laburnumford_mesh.http import buffer_budget, read_limits
from laburnumford_mesh.tests import conftest


class RepeatingServer:
    """Refuses the first request of each connection and repeats that before the next answer.

    Attributes:
        refusal_status: status of the refusals.
        names_request: whether answers carry the id of their request.
        runs: ids of the requests that ran.
        refuses: whether the first request of a connection is refused.
    """

    def __init__(self):
        self.refusal_status = 429
        self.names_request = True
        self.refuses = True
        self.runs = []
        self.address = ""
        self._listening: Any = None
        self._writers = []

    async def start(self):
        """Starts to listen."""
        self._listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._listening.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self):
        """Stops listening and ends all connections."""
        self._listening.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        repeated = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                lines = head.split("\r\n")
                values = dict(line.split(": ", 1) for line in lines[1:] if line)
                request_id = values.get("x-id", "")
                if lines[0].split(" ")[1] == "/health":
                    writer.write(repeated + self._answer(200, "", "X-Load: 0,0,4,100\r\n"))
                elif self.refuses and not repeated:
                    repeated = self._answer(self.refusal_status, request_id, "X-Not-Run: 1\r\n")
                    writer.write(repeated)
                else:
                    self.runs.append(request_id)
                    writer.write(repeated + self._answer(200, request_id, "X-Signature: a\r\n"))
        writer.close()

    def _answer(self, status, request_id, more):
        id_field = f"X-Id: {request_id}\r\n" if request_id and self.names_request else ""
        return f"HTTP/1.1 {status} X\r\n{id_field}{more}Content-Length: 0\r\n\r\n".encode()


@pytest.fixture
async def server():
    """Returns a started server."""
    made = RepeatingServer()
    await made.start()
    yield made
    made.stop()


@pytest.fixture
def local(server, log):
    """Returns a local server for the server, which does not probe it."""
    made = local_server.LocalServer(
        address=server.address,
        names=conftest.NAMES,
        log=log,
        limits=read_limits.ReadLimits(),
        budget=buffer_budget.BufferBudget(max_bytes=100_000),
        on_load_change=lambda: None,
    )
    made.apply(server_id="a", slots=1, health_path="")
    yield made
    made.close()


@pytest.mark.parametrize("status", [429, 503, 421])
@pytest.mark.parametrize("idempotent", [True, False])
async def test_refused_request_that_comes_back_is_not_refused_by_a_repetition(
    server, local, status, idempotent
):
    """Guards against "not run" for a request that runs, so that it runs twice."""
    server.refusal_status = status
    refused = await local.run(conftest.make_request("q", idempotent=idempotent))
    assert isinstance(refused, frames.Refusal)
    # The next connection is not refused, so only a repetition can be taken for a refusal.
    server.refuses = False
    found = await local.run(conftest.make_request("q", idempotent=idempotent))
    assert isinstance(found, frames.Answer)
    assert server.runs == ["q"]


async def test_refusal_without_an_id_proves_nothing(server, local):
    """Guards against a refusal that may belong to any request of the connection."""
    server.names_request = False
    found = await local.run(conftest.make_request("q", remaining_s=0.2))
    assert isinstance(found, frames.UnknownOutcome)


async def test_request_without_an_id_gets_a_connection_of_its_own(server, local):
    """Guards against an answer without an id that belongs to another request."""
    server.names_request = False
    no_id = conftest.make_request(fields=[(b"host", b"h")])
    assert isinstance(await local.run(no_id), frames.Refusal)
    server.refuses = False
    assert isinstance(await local.run(no_id), frames.Answer)
    assert len(server.runs) == 1
