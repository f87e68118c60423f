"""Tests of connections of callers."""

import asyncio
import dataclasses

import pytest

from laburnumford_mesh.http import edge_connection
from laburnumford_mesh.tests import waiting


def _get(path, *more):
    lines = [f"GET {path} HTTP/1.1", "Host: h", *more, "", ""]
    return "\r\n".join(lines).encode()


async def test_pipelined_requests_run_concurrently_and_are_answered_in_order(edge):
    """Guards against a slow request that delays the start of the requests after it."""
    first = edge.gate("/1")
    caller = await edge.connect()
    caller.send(_get("/1") + _get("/2") + _get("/3"))
    await waiting.until(lambda: len(edge.requests) == 3)
    first.set()
    assert [(await caller.read_answer())[2] for _ in range(3)] == [b"/1", b"/2", b"/3"]


async def test_chunked_body_is_reassembled(edge):
    """Guards against bytes that are lost at chunk boundaries."""
    caller = await edge.connect()
    caller.send(
        b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    await caller.read_answer()
    assert edge.requests[0].body == b"abcde"


async def test_disconnect_of_the_caller_cancels_its_requests(edge):
    """Guards against handlers that run on for disconnected callers."""
    edge.gate("/1")
    caller = await edge.connect()
    caller.send(_get("/1"))
    await waiting.until(lambda: edge.requests)
    caller.writer.close()
    await waiting.until(lambda: edge.cancelled == ["/1"])


async def test_disconnect_while_reading_is_paused_cancels_the_requests(edge):
    """Guards against work for a caller that left, unnoticed since its connection is not read."""
    count = edge_connection._MAX_PIPELINED_REQUESTS
    edge.budget.max_bytes = 1_000_000
    edge.gate("/1")
    caller = await edge.connect()
    caller.send(_get("/1") * count)
    await waiting.until(lambda: len(edge.requests) == count)
    caller.writer.close()
    await waiting.until(lambda: len(edge.cancelled) == count)
    assert edge.server.connection_count == 0


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505),
        (b"nonsense\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 3000 + b"\r\n\r\n", 431),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n", 413),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", 501),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 501),
    ],
)
async def test_ambiguous_and_oversized_requests_are_rejected(edge, request_bytes, status):
    """Guards against request smuggling and unbounded memory."""
    caller = await edge.connect()
    caller.send(request_bytes)
    answered, values, _ = await caller.read_answer()
    assert answered == status
    assert values[b"connection"] == b"close"
    assert not edge.requests


async def test_error_for_a_bad_request_follows_the_earlier_answers(edge):
    """Guards against an error that the caller reads as the answer to an earlier request."""
    first = edge.gate("/1")
    caller = await edge.connect()
    caller.send(_get("/1") + b"nonsense\r\n\r\n")
    await waiting.until(lambda: edge.requests)
    first.set()
    assert (await caller.read_answer())[0] == 200
    assert (await caller.read_answer())[0] == 400


async def test_requests_after_connection_close_are_ignored(edge):
    """Guards against running a request that the caller resends on another connection."""
    caller = await edge.connect()
    caller.send(_get("/1", "Connection: close") + _get("/2"))
    assert (await caller.read_answer())[2] == b"/1"
    await caller.read_until_closed()
    assert [each.path for each in edge.requests] == ["/1"]


async def test_drain_answers_received_requests_and_then_closes(edge):
    """Guards against a drain that drops requests in flight, and one that never finishes."""
    gate = edge.gate("/2")
    caller = await edge.connect()
    caller.send(_get("/1") + _get("/2"))
    await waiting.until(lambda: len(edge.requests) == 2)
    edge.server.begin_drain()
    assert not edge.server.is_idle()
    gate.set()
    assert b"connection" not in (await caller.read_answer())[1]
    assert (await caller.read_answer())[1][b"connection"] == b"close"
    assert await caller.read_until_closed() == b""
    await waiting.until(edge.server.is_idle)


async def test_slow_header_section_is_rejected(edge):
    """Guards against clients that hold connections open by sending headers slowly."""
    caller = await edge.connect()
    caller.send(b"GET / HTTP/1.1\r\nHo")
    assert (await caller.read_answer())[0] == 408


async def test_buffered_bodies_are_bounded_and_released(edge):
    """Guards against running out of memory, and against reserved bytes that are never released."""
    gate = edge.gate("/1")
    post = b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n" + b"x" * 90000
    first = await edge.connect()
    first.send(post)
    await waiting.until(lambda: edge.requests)
    second = await edge.connect()
    second.send(post)
    assert (await second.read_answer())[0] == 503
    gate.set()
    assert (await first.read_answer())[0] == 200
    third = await edge.connect()
    third.send(post)
    assert (await third.read_answer())[0] == 200


async def test_continue_is_sent_before_the_body_is_received(edge):
    """Guards against callers that wait in vain for 100 Continue before sending the body."""
    caller = await edge.connect()
    caller.send(
        b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
    )
    async with asyncio.timeout(5):
        assert await caller.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
    caller.send(b"ab")
    assert (await caller.read_answer())[0] == 200


async def test_answer_to_head_has_no_body(edge):
    """Guards against a body that the caller parses as the next answer."""
    caller = await edge.connect()
    caller.send(b"HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n" + _get("/2"))
    async with asyncio.timeout(5):
        head = await caller.reader.readuntil(b"\r\n\r\n")
    assert b"content-length: 2" in head
    assert (await caller.read_answer())[2] == b"/2"


CHUNKED_POST = b"POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("start", "pattern", "status"),
    [
        (b"GET /", b"x", 431),
        (b"GET / HTTP/1.1\r\n", b"X: y\r\n", 431),
        (b"GET / HTTP/1.1\r\n", b"x", 431),
        (CHUNKED_POST, b"0", 431),
        (CHUNKED_POST + b"5;", b"e", 431),
        (CHUNKED_POST + b"0\r\n", b"X: y\r\n", 431),
        (CHUNKED_POST, b"10\r\n" + b"b" * 16 + b"\r\n", 413),
    ],
)
async def test_endless_request_is_rejected(edge, start, pattern, status):
    """Guards against a caller that sends one element of a request without end."""
    caller = await edge.connect()
    caller.send(start)
    answer = asyncio.create_task(caller.read_answer())
    async with asyncio.timeout(10):
        while not answer.done():
            caller.send(pattern * 100)
            await asyncio.sleep(0)
    assert (await answer)[0] in (status, 400)
    assert not edge.requests


async def test_body_in_small_pieces_within_its_timeout_is_accepted(edge):
    """Guards against rejecting chunked bodies of callers that send small chunks."""
    caller = await edge.connect()
    body = b"b" * 5000
    caller.send(CHUNKED_POST)
    for index in range(0, len(body), 10):
        caller.send(b"a\r\n" + body[index : index + 10] + b"\r\n")
        await asyncio.sleep(0)
    caller.send(b"0\r\n\r\n" + _get("/2"))
    assert (await caller.read_answer())[0] == 200
    assert (await caller.read_answer())[0] == 200
    assert edge.requests[0].body == body


async def test_slow_body_is_rejected(edge):
    """Guards against a caller that holds a connection by sending a body byte by byte."""
    edge.limits = dataclasses.replace(edge.limits, idle_timeout_s=0.5)
    caller = await edge.connect()
    caller.send(b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
    answer = asyncio.create_task(caller.read_answer())
    async with asyncio.timeout(10):
        while not answer.done():
            caller.send(b"b")
            await asyncio.sleep(0.05)
    assert (await answer)[0] == 408
    assert not edge.requests
