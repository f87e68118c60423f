"""Tests of connections to backend servers."""

import asyncio
import contextlib
import socket
import struct

import pytest

from laburnumford_mesh.http import buffer_budget, read_limits, server_connection, server_pool
from laburnumford_node.http import errors

ID_FIELD = b"x-id"


class Server:
    """Server that writes predefined bytes for each request.

    Attributes:
        answers: bytes of each answer, and what follows: "close", "reset" or nothing.
        connections: number of accepted connections.
        port: TCP port.
    """

    def __init__(self):
        self.answers = []
        self.connections = 0
        self._listening = contextlib.AsyncExitStack()
        self.port = 0

    async def start(self):
        """Starts to listen on a free port."""
        started = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._listening.callback(started.close)
        self.port = started.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.connections += 1
        while self.answers:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            data, then = self.answers.pop(0)
            writer.write(data)
            if then == "reset":
                # With a linger time of 0 the kernel closes by a reset.
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                await writer.drain()
                writer.transport.abort()
                return
            if then == "close":
                break
        writer.close()

    async def stop(self):
        """Stops listening."""
        await self._listening.aclose()


@pytest.fixture
async def server():
    """Returns a started server."""
    made = Server()
    await made.start()
    yield made
    await made.stop()


@pytest.fixture
async def pool(server):
    """Returns a pool for the server."""
    made = server_pool.ServerPool(
        address=f"127.0.0.1:{server.port}",
        id_field=ID_FIELD,
        connect_timeout_s=1.0,
        limits=read_limits.ReadLimits(),
        budget=buffer_budget.BufferBudget(max_bytes=1_000_000),
    )
    yield made
    made.close()


UNUSABLE_ADDRESSES = {
    "port 70000": "127.0.0.1:70000",
    "negative port": "127.0.0.1:-1",
    "superscript port": "127.0.0.1:\u00b2",
    "port of 5000 digits": "127.0.0.1:" + "9" * 5000,
    "empty labels": "..:80",
    "long label": "x" * 300 + ":80",
    "NUL": "a\x00b:80",
}


@pytest.mark.parametrize("address", UNUSABLE_ADDRESSES.values(), ids=UNUSABLE_ADDRESSES)
async def test_unusable_address_is_a_failed_connect(address):
    """Guards against an error that the callers of the pool do not handle."""
    made = server_pool.ServerPool(
        address=address,
        id_field=ID_FIELD,
        connect_timeout_s=1.0,
        limits=read_limits.ReadLimits(),
        budget=buffer_budget.BufferBudget(max_bytes=1000),
    )
    with pytest.raises(errors.ConnectError):
        await made.acquire(10.0)


def _response(request_id, body=b"ok", *more):
    head = b"\r\n".join(
        [b"HTTP/1.1 200 OK", b"X-Id: " + request_id, b"Content-Length: %d" % len(body), *more]
    )
    return head + b"\r\n\r\n" + body


async def _exchange(pool, request_id=b"1"):
    connection = await pool.acquire(10.0, request_id)
    try:
        async with asyncio.timeout(5):
            return await connection.send(b"GET", b"GET / HTTP/1.1\r\n\r\n", request_id), connection
    finally:
        pool.release(connection)


async def test_connection_is_reused(server, pool):
    """Guards against a new connection for each request."""
    server.answers = [(_response(b"1"), ""), (_response(b"2"), "")]
    await _exchange(pool, b"1")
    await _exchange(pool, b"2")
    assert pool.opened_count == 1


async def test_answer_with_the_id_of_another_request_is_dropped(server, pool):
    """Guards against a late duplicate answer that reaches the next caller."""
    server.answers = [(_response(b"0", b"stale") + _response(b"1", b"own"), "")]
    found, _ = await _exchange(pool, b"1")
    assert found.body == b"own"


async def test_extra_answer_makes_the_connection_unusable(server, pool):
    """Guards against bytes after an answer that are read as the next one."""
    server.answers = [(_response(b"1") + _response(b"1", b"again"), ""), (_response(b"2"), "")]
    found, connection = await _exchange(pool, b"1")
    assert found.body == b"ok"
    assert not connection.reusable


async def test_answer_without_length_ends_with_the_connection(server, pool):
    """Guards against rejecting a valid answer that is delimited by the connection close."""
    server.answers = [(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it", "close")]
    found, _ = await _exchange(pool)
    assert found.body == b"all of it"


async def test_answer_without_length_that_ends_by_reset_is_an_error(server, pool):
    """Guards against a truncated answer that is taken for complete."""
    server.answers = [(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhalf", "reset")]
    with pytest.raises(errors.HttpError):
        await _exchange(pool)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        b"\x00\x01\x02 no answer\r\n\r\n",
    ],
)
async def test_truncated_or_invalid_answer_is_an_error(server, pool, data):
    """Guards against truncated and invalid answers that reach a caller."""
    server.answers = [(data, "close")]
    with pytest.raises(errors.HttpError):
        await _exchange(pool)


async def test_keep_alive_timeout_of_the_server_is_respected(server, pool):
    """Guards against a request on a connection that the server is about to close."""
    server.answers = [
        (_response(b"1", b"ok", b"Keep-Alive: timeout=1"), ""),
        (_response(b"2"), ""),
    ]
    _, connection = await _exchange(pool, b"1")
    assert connection.is_fresh(connection.idle_since_s, 10.0)
    assert not connection.is_fresh(connection.idle_since_s + 0.5, 10.0)


async def test_connection_beyond_the_idle_limit_is_not_reused(server, pool):
    """Guards against a non-idempotent request on a connection that the server may have closed."""
    server.answers = [(_response(b"1"), ""), (_response(b"2"), "")]
    await _exchange(pool, b"1")
    connection = await pool.acquire(-1.0)
    assert pool.opened_count == 2
    connection.close()


def _refusal(*fields_of_refusal):
    head = [b"HTTP/1.1 429 X", *fields_of_refusal, b"X-Not-Run: 1", b"Content-Length: 0"]
    return b"\r\n".join(head) + b"\r\n\r\n"


async def test_earlier_refusal_is_not_the_answer_to_the_next_attempt(server, pool):
    """Guards against "not run" for a request that runs (issue 30).

    The id in an answer does not tell two attempts of one request apart. The server sends the refusal
    of the first attempt once more when the second one arrives.
    """
    refusal = _refusal(b"X-Id: q")
    server.answers = [(refusal, ""), (refusal + _response(b"q"), ""), (_response(b"q"), "")]
    first, _ = await _exchange(pool, b"q")
    assert first.status == 429
    server.answers.pop(0)
    second, _ = await _exchange(pool, b"q")
    assert second.status == 200
    assert server.connections == 2


async def test_connection_is_kept_for_requests_with_other_ids(server, pool):
    """Guards against a new connection after each refusal."""
    server.answers = [(_refusal(b"X-Id: q"), ""), (_response(b"r"), "")]
    await _exchange(pool, b"q")
    found, _ = await _exchange(pool, b"r")
    assert found.status == 200
    assert server.connections == 1


@pytest.mark.parametrize(
    "refusal", [_refusal(), _refusal(b"X-Id: p")], ids=["without id", "of an earlier request"]
)
async def test_refusal_of_another_request_is_dropped(server, pool, refusal):
    """Guards against a refusal that is taken for the answer to a request that runs."""
    server.answers = [(_response(b"p"), ""), (refusal + _response(b"q"), "")]
    await _exchange(pool, b"p")
    found, _ = await _exchange(pool, b"q")
    assert found.status == 200


async def test_answer_with_an_id_is_not_the_answer_to_a_request_without_one(server, pool):
    """Guards against a health check that takes the repeated answer to an earlier request."""
    refusal = _refusal(b"X-Id: p")
    server.answers = [
        (refusal, ""),
        (refusal + b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""),
    ]
    await _exchange(pool, b"p")
    found, _ = await _exchange(pool, None)
    assert found.status == 200


async def test_connection_is_replaced_after_many_requests(server, pool, monkeypatch):
    """Guards against an unbounded number of remembered ids."""
    monkeypatch.setattr(server_connection, "_MAX_REQUESTS", 3)
    ids = [b"%d" % number for number in range(4)]
    server.answers = [(_response(each), "") for each in ids]
    for each in ids:
        await _exchange(pool, each)
    assert server.connections == 2
