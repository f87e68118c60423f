"""Tests of servers that send bytes without end until the caller closes the connection."""

import asyncio

import pytest

from laburnumford_mesh.http import buffer_budget, read_limits, server_pool
from laburnumford_mesh.http.tests import flooding_server
from laburnumford_mesh.tests import waiting
from laburnumford_node.http import errors

LIMITS = read_limits.ReadLimits(framing_bytes=16_384, header_fields=100, body_bytes=200_000)
MAX_SENT_BYTES = LIMITS.body_bytes + 16 * 1024 * 1024
"""Limit of the exchange and the largest socket buffers of both ends."""

HEAD = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

ENDLESS_ANSWERS = {
    "status line": (b"HTTP/1.1 200 ", b"O"),
    "header fields": (HEAD, b"X-Field: value\r\n"),
    "header name": (HEAD, b"x"),
    "header value": (HEAD + b"X-Field: ", b"v"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"5;", b"e"),
    "chunked body": (CHUNKED, b"1000\r\n" + b"b" * 0x1000 + b"\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\nb\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"X-Trailer: value\r\n"),
    "body of the declared length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"b"),
    "body until the end of the connection": (HEAD + b"\r\n", b"b"),
    "bytes after the declared length": (HEAD + b"Content-Length: 2\r\n\r\nok", b"b"),
    "informational answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "answers to other requests": (b"", b"HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 0\r\n\r\n"),
    "no HTTP": (b"", b"\x00\x01\x02\x03"),
}


def _pool(port, budget=None):
    return server_pool.ServerPool(
        address=f"127.0.0.1:{port}",
        id_field=b"x-id",
        connect_timeout_s=1.0,
        limits=LIMITS,
        budget=budget or buffer_budget.BufferBudget(max_bytes=1_000_000),
    )


@pytest.mark.parametrize("name", ENDLESS_ANSWERS)
async def test_endless_answer_is_cut_off(name):
    """Guards against a server that fills the memory of the node with one answer."""
    async with flooding_server.FloodingServer(*ENDLESS_ANSWERS[name]) as server:
        pool = _pool(server.port)
        connection = await pool.acquire(1.0)
        async with asyncio.timeout(10):
            if name == "bytes after the declared length":
                answer = await connection.send(b"GET", b"GET / HTTP/1.1\r\n\r\n", b"1")
                assert answer.body == b"ok"
            else:
                with pytest.raises(errors.HttpError):
                    await connection.send(b"GET", b"GET / HTTP/1.1\r\n\r\n", b"1")
            await server.closed.wait()
        assert server.sent_bytes <= MAX_SENT_BYTES
        assert not connection.reusable
        pool.close()


async def test_concurrent_answers_share_the_buffer():
    """Guards against answers that are within their limit and together exceed the memory."""
    body = b"b" * 150_000
    head = HEAD + b"Content-Length: 150001\r\n\r\n"

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + body)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    pool = _pool(server.sockets[0].getsockname()[1], buffer_budget.BufferBudget(max_bytes=400_000))
    connections = [await pool.acquire(1.0) for _ in range(4)]
    sends = [
        asyncio.create_task(each.send(b"GET", b"GET / HTTP/1.1\r\n\r\n", b"1"))
        for each in connections
    ]
    async with asyncio.timeout(10):
        done, pending = await asyncio.wait(sends, timeout=5, return_when=asyncio.FIRST_EXCEPTION)
    assert len(pending) >= 2
    assert all(isinstance(each.exception(), errors.BadMessageError) for each in done)
    assert done
    for each in pending:
        each.cancel()
    for each in connections:
        each.close()
    server.close()


async def test_answer_waits_for_others_to_leave_the_buffer():
    """Guards against a request that has run and whose answer is given up because memory is short.

    The answers before it may be on their way to callers on slow links.
    """
    body = b"b" * 190_000
    head = HEAD + b"Content-Length: 190000\r\n\r\n"
    rest_sent = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head + body[:50_000])
        await rest_sent.wait()
        writer.write(body[50_000:])

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    budget = buffer_budget.BufferBudget(max_bytes=400_000)
    pool = _pool(server.sockets[0].getsockname()[1], budget)
    budget.take(390_000)
    connection = await pool.acquire(1.0)
    sending = asyncio.create_task(connection.send(b"GET", b"GET / HTTP/1.1\r\n\r\n", b"1"))
    await waiting.until(lambda: budget.reserved_bytes > budget.max_bytes)
    rest_sent.set()
    await asyncio.sleep(0.1)
    assert not sending.done()
    budget.release(390_000)
    assert (await sending).body == body
    assert connection.reusable
    assert not budget.reserved_bytes
    pool.close()
    server.close()


async def test_large_answer_within_the_limits_is_complete():
    """Guards against limits that reject answers which services really send."""
    body = b"b" * LIMITS.body_bytes
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

    async def serve(reader, writer):
        for _ in range(2):
            await reader.readuntil(b"\r\n\r\n")
            chunks = [b"1\r\nb\r\n"] * 10_000 + [b"%x\r\n%b\r\n" % (190_000, body[:190_000])]
            writer.write(head + b"".join(chunks) + b"0\r\n\r\n")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    pool = _pool(
        server.sockets[0].getsockname()[1], buffer_budget.BufferBudget(max_bytes=LIMITS.body_bytes)
    )
    connection = await pool.acquire(1.0)
    async with asyncio.timeout(10):
        for _ in range(2):
            answer = await connection.send(b"GET", b"GET / HTTP/1.1\r\n\r\n", b"1")
            assert answer.body == body
    pool.release(connection)
    pool.close()
    server.close()
