"""Fixtures of the tests of caller connections."""

import asyncio
import os

import pytest

from laburnumford_mesh import event_log, limits
from laburnumford_mesh.http import answer, buffer_budget, edge_server

SMALL_LIMITS = limits.Limits(
    header_bytes=2048, body_bytes=100_000, header_timeout_s=0.5, idle_timeout_s=30.0
)


class Caller:
    """Client that sends raw bytes on one connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send(self, data):
        """Writes bytes."""
        self.writer.write(data)

    async def read_answer(self):
        """Returns status code, header fields and body of the next answer."""
        async with asyncio.timeout(5):
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            values = dict(line.lower().split(b": ", 1) for line in lines[1:] if line)
            body = await self.reader.readexactly(int(values.get(b"content-length", b"0")))
        return int(lines[0].split(b" ")[1]), values, body

    async def read_until_closed(self):
        """Returns the bytes received until the server closes the connection."""
        async with asyncio.timeout(5):
            return await self.reader.read()


class Edge:
    """Edge server whose handler waits for gates that a test opens, by path."""

    def __init__(self, log):
        self.gate_by_path = {}
        self.requests = []
        self.cancelled = []
        self.limits = SMALL_LIMITS
        self.budget = buffer_budget.BufferBudget(max_bytes=150_000)
        self.server = edge_server.EdgeServer(
            address="127.0.0.1:0",
            handler=self.handle,
            limits=lambda: self.limits,
            max_connections=10,
            budget=self.budget,
            log=log,
        )

    async def handle(self, received):
        """Returns an answer with the path as body once the gate of the path is open."""
        self.requests.append(received)
        gate = self.gate_by_path.get(received.path)
        try:
            if gate is not None:
                await gate.wait()
        except asyncio.CancelledError:
            self.cancelled.append(received.path)
            raise
        return answer.Answer(
            status=200, reason=b"OK", fields=[(b"x", b"y")], body=received.path.encode()
        )

    def gate(self, path):
        """Adds a closed gate for a path and returns it."""
        self.gate_by_path[path] = asyncio.Event()
        return self.gate_by_path[path]

    async def connect(self):
        """Opens a connection to the edge server."""
        return Caller(*await asyncio.open_connection("127.0.0.1", self.server.port))


@pytest.fixture
def log(tmp_path):
    """Returns a structured log that writes to a file."""
    descriptor = os.open(tmp_path / "log", os.O_WRONLY | os.O_CREAT)
    yield event_log.EventLog(node="n", descriptor=descriptor)
    os.close(descriptor)


@pytest.fixture
async def edge(log):
    """Returns a started edge server."""
    made = Edge(log)
    await made.server.start()
    yield made
    await made.server.close()
