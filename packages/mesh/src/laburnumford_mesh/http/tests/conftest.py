"""Shared fixtures."""

import asyncio

import pytest

from laburnumford_mesh import limits
from laburnumford_mesh.http import answer, edge_server

SMALL = limits.Limits(
    header_bytes=2048, body_bytes=100_000, header_timeout_s=0.5, idle_timeout_s=30.0
)


class Caller:
    """A raw client connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send(self, data):
        """Writes bytes."""
        self.writer.write(data)

    async def answer(self):
        """Returns status, fields and body of the next answer."""
        async with asyncio.timeout(5):
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            values = dict(line.lower().split(b": ", 1) for line in lines[1:] if line)
            body = await self.reader.readexactly(int(values.get(b"content-length", b"0")))
        return int(lines[0].split(b" ")[1]), values, body

    async def closed(self):
        """Waits for the end of the stream; returns what came before it."""
        async with asyncio.timeout(5):
            return await self.reader.read()


class Edge:
    """An edge server whose handler the test steers by path."""

    def __init__(self):
        self.gate_by_path = {}
        self.requests = []
        self.cancelled = []
        self.server = edge_server.EdgeServer(
            address="127.0.0.1:0",
            handler=self.handle,
            limits=lambda: SMALL,
            max_connections=10,
            max_buffer_bytes=150_000,
        )

    async def handle(self, received):
        """Answers with the path, after the gate of the path has opened."""
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
        """Makes requests with a path wait."""
        self.gate_by_path[path] = asyncio.Event()
        return self.gate_by_path[path]

    async def caller(self):
        """Opens a connection."""
        return Caller(*await asyncio.open_connection("127.0.0.1", self.server.port))


@pytest.fixture
async def edge():
    """Returns a started edge server."""
    made = Edge()
    await made.server.start()
    yield made
    await made.server.close()
