"""Tests of large request bodies to servers that read slowly or not at all."""

import asyncio
import contextlib
import random
from typing import Any

import pytest

from laburnumford_mesh.http import buffer_budget, read_limits, server_pool
from laburnumford_mesh.tests import waiting
from laburnumford_node.http import errors

BODY = random.Random(1).randbytes(20_000_000)
HEAD = b"POST / HTTP/1.1\r\nX-Id: 1\r\nContent-Length: %d\r\n\r\n" % len(BODY)
ANSWER = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"
MAX_BUFFERED_BYTES = 256 * 1024


class Server:
    """Server that reads a body when a gate opens, and may answer before that.

    Attributes:
        gate: the body is read once this is set.
        early_answer: bytes sent before the body is read.
        resets: whether the connection is reset instead of reading the body.
        bodies: received bodies.
        pool: connections to it.
    """

    def __init__(self):
        self.gate = asyncio.Event()
        self.early_answer = b""
        self.resets = False
        self.bodies = []
        self._stack = contextlib.AsyncExitStack()
        self.pool: Any = None

    async def start(self):
        """Starts to listen and makes a pool of connections."""
        started = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._stack.callback(started.close)
        self.pool = server_pool.ServerPool(
            address=f"127.0.0.1:{started.sockets[0].getsockname()[1]}",
            id_field=b"x-id",
            connect_timeout_s=1.0,
            limits=read_limits.ReadLimits(),
            budget=buffer_budget.BufferBudget(max_bytes=1_000_000),
        )
        self._stack.callback(self.pool.close)

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.early_answer)
            await self.gate.wait()
            if not self.resets:
                self.bodies.append(await reader.readexactly(len(BODY)))
                writer.write(ANSWER)
        if self.resets:
            writer.transport.abort()
        writer.close()

    async def stop(self):
        """Stops listening."""
        self.gate.set()
        await self._stack.aclose()


@pytest.fixture
async def server():
    """Returns a started server."""
    made = Server()
    await made.start()
    yield made
    await made.stop()


async def test_server_that_does_not_read_costs_no_second_copy(server):
    """Guards against a transport that buffers the body once more while the server is slow."""
    connection = await server.pool.acquire(1.0)
    sending = asyncio.create_task(connection.send(b"POST", HEAD, b"1", BODY))
    await waiting.until(lambda: connection._writer.paused)
    assert connection._transport.get_write_buffer_size() <= MAX_BUFFERED_BYTES
    server.gate.set()
    assert (await sending).body == b"ok"
    assert server.bodies == [BODY]


async def test_answer_before_the_end_of_the_body_closes_the_connection(server):
    """Guards against the rest of a body that is taken for the next request."""
    server.early_answer = ANSWER
    connection = await server.pool.acquire(1.0)
    found = await connection.send(b"POST", HEAD, b"1", BODY)
    assert found.status == 200
    assert not connection.reusable
    server.pool.release(connection)
    assert connection._writer.finished


async def test_connection_that_breaks_in_the_body_frees_it(server):
    """Guards against a request that never ends, and a body that is held after its connection."""
    server.resets = True
    connection = await server.pool.acquire(1.0)
    sending = asyncio.create_task(connection.send(b"POST", HEAD, b"1", BODY))
    await waiting.until(lambda: connection._writer.paused)
    server.gate.set()
    with pytest.raises(errors.HttpError):
        await sending
    assert connection._writer.finished
