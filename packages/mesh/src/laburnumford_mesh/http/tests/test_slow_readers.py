"""Tests of callers that do not read their answers, or read them slowly."""

import asyncio
import random
import socket

import pytest

from laburnumford_mesh.http import answer, buffer_budget, caller_memory, edge_server
from laburnumford_mesh.http.tests import conftest
from laburnumford_mesh.tests import waiting

BODY = random.Random(1).randbytes(3_000_000)
BUDGET_BYTES = 8_000_000


class LongEdge:
    """Edge server whose answers have the size in the path."""

    def __init__(self, log):
        self.paths = []
        self.budget = buffer_budget.BufferBudget(max_bytes=BUDGET_BYTES)
        self.server = edge_server.EdgeServer(
            address="127.0.0.1:0",
            handler=self.handle,
            limits=lambda: conftest.SMALL_LIMITS,
            max_connections=50,
            budget=self.budget,
            log=log,
        )

    async def handle(self, received):
        """Returns the first bytes of the body."""
        self.paths.append(received.path)
        body = BODY[: int(received.path.strip("/"))]
        return answer.Answer(status=200, reason=b"OK", fields=(), body=body)

    async def connect(self):
        """Opens a connection with small buffers."""
        found = socket.socket()
        found.setblocking(False)
        found.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await asyncio.get_running_loop().sock_connect(found, ("127.0.0.1", self.server.port))
        return found

    async def request(self, size, count=1):
        """Sends requests on a new connection and reads nothing."""
        connection = await self.connect()
        data = f"GET /{size} HTTP/1.1\r\nHost: h\r\n\r\n".encode() * count
        await asyncio.get_running_loop().sock_sendall(connection, data)
        return connection


async def _read(connection, size):
    """Returns the next bytes of a connection, fewer if it ends."""
    data = bytearray()
    async with asyncio.timeout(30):
        while len(data) < size:
            part = await asyncio.get_running_loop().sock_recv(connection, size - len(data))
            if not part:
                break
            data += part
    return bytes(data)


async def _read_answer(connection):
    """Returns the body of the next answer."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        part = await _read(connection, 1)
        assert part
        head += part
    length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
    return await _read(connection, int(length))


@pytest.fixture
async def long_edge(log):
    """Returns a started edge server with long answers."""
    made = LongEdge(log)
    await made.server.start()
    yield made
    await made.server.close()


async def test_long_answer_arrives_unchanged_and_counts_until_it_is_sent(long_edge):
    """Guards against an answer that is cut, or that counts as sent while it is buffered."""
    connection = await long_edge.request(len(BODY))
    await waiting.until(lambda: long_edge.budget.reserved_bytes >= len(BODY))
    assert long_edge.server.in_flight_count == 1
    assert not long_edge.server.is_idle()
    assert await _read_answer(connection) == BODY
    await waiting.until(long_edge.server.is_idle)
    assert long_edge.budget.reserved_bytes == 0
    connection.close()


async def test_caller_that_does_not_read_gets_no_more_requests_served(long_edge):
    """Guards against answers without a bound for a caller that pipelines and does not read."""
    connection = await long_edge.request(1_000_000)
    loop = asyncio.get_running_loop()
    await waiting.until(lambda: long_edge.budget.reserved_bytes >= 1_000_000)
    await loop.sock_sendall(connection, b"GET /10 HTTP/1.1\r\nHost: h\r\n\r\n" * 10)
    await asyncio.sleep(0.2)
    assert long_edge.paths == ["/1000000"]
    assert await _read_answer(connection) == BODY[:1_000_000]
    for _ in range(10):
        assert await _read_answer(connection) == BODY[:10]
    connection.close()


async def test_stalled_readers_make_space_for_ordinary_callers(long_edge, monkeypatch):
    """Guards against callers that do not read and take the memory of all others."""
    monkeypatch.setattr(caller_memory, "_SHORTAGE_STALL_S", 0.0)
    stalled = [await long_edge.request(len(BODY)) for _ in range(2)]
    await waiting.until(lambda: long_edge.budget.reserved_bytes >= 2 * len(BODY))
    reader = await long_edge.request(len(BODY))
    assert await _read_answer(reader) == BODY
    assert long_edge.server.closed_reader_count == 1
    assert long_edge.budget.reserved_bytes <= BUDGET_BYTES
    for each in (*stalled, reader):
        each.close()
    await waiting.until(lambda: long_edge.budget.reserved_bytes == 0)


async def test_reader_that_reads_nothing_is_closed(long_edge, monkeypatch):
    """Guards against answers that are held for a caller that never reads."""
    monkeypatch.setattr(caller_memory, "_MAX_STALL_S", 0.6)
    connection = await long_edge.request(len(BODY))
    await waiting.until(lambda: long_edge.server.closed_reader_count == 1)
    assert long_edge.budget.reserved_bytes == 0
    await waiting.until(lambda: long_edge.server.connection_count == 0)
    connection.close()


async def test_reader_that_reads_a_little_is_not_closed(long_edge, monkeypatch):
    """Guards against closing a caller on a narrow link."""
    monkeypatch.setattr(caller_memory, "_MAX_STALL_S", 1.5)
    connection = await long_edge.request(len(BODY))
    received = b""
    for _ in range(30):
        received += await _read(connection, 20_000)
        await asyncio.sleep(0.1)
    assert long_edge.server.closed_reader_count == 0
    rest = await _read(connection, len(BODY) - len(received) + received.index(b"\r\n\r\n") + 4)
    assert (received + rest).endswith(BODY)
    connection.close()


async def test_waiting_answers_are_counted_and_released(edge):
    """Guards against answers that wait for an earlier one without being counted."""
    gate = edge.gate("/1")
    caller = await edge.connect()
    caller.send(b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
    (connection,) = edge.server._connections
    await waiting.until(lambda: connection.held_answer_bytes > 0)
    gate.set()
    assert [(await caller.read_answer())[2] for _ in range(2)] == [b"/1", b"/2"]
    assert connection.held_answer_bytes == 0
    assert edge.budget.reserved_bytes == 0


async def test_request_that_is_cancelled_on_arrival_releases_its_bytes(edge):
    """Guards against reservations that stay when a handler is cancelled before its first step."""
    await edge.connect()
    await waiting.until(lambda: edge.server.connection_count == 1)
    (connection,) = edge.server._connections
    connection.data_received(b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
    connection.connection_lost(None)
    assert edge.budget.reserved_bytes > 0
    await waiting.until(lambda: edge.budget.reserved_bytes == 0)
    assert not edge.requests


async def test_slow_header_section_is_rejected_once(edge, caplog):
    """Guards against a second rejection on a connection that is about to be closed."""
    caller = await edge.connect()
    caller.send(b"GET / HTTP/1.1\r\nHo")
    assert (await caller.read_answer())[0] == 408
    assert await caller.read_until_closed() == b""
    await waiting.until(lambda: edge.server.connection_count == 0)
    assert not caplog.records


async def test_refused_body_names_a_time_for_the_next_try(edge):
    """Guards against a refusal without Retry-After when memory is short."""
    assert edge.budget.reserve(140_000)
    caller = await edge.connect()
    caller.send(b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
    status, values, _ = await caller.read_answer()
    assert status == 503
    assert float(values[b"retry-after"]) > 0
    assert not edge.requests
    edge.budget.release(140_000)
