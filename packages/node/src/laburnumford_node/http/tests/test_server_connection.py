"""Tests of incoming connections."""

import asyncio
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from laburnumford_node import problem
from laburnumford_node.http import buffer_limit, server
from laburnumford_node.http.tests import conftest

_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"

_REFUSED_MESSAGES = {
    "length and coding": (_HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    "two lengths": (_HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400),
    "signed length": (_HEAD + b"Content-Length: +2\r\n\r\nab", 400),
    "folded field": (_HEAD + b"X: a\r\n b\r\nContent-Length: 0\r\n\r\n", 400),
    "bare LF": (_HEAD + b"X: a\nY: b\r\nContent-Length: 0\r\n\r\n", 400),
    "bare CR": (_HEAD + b"X: a\rY: b\r\nContent-Length: 0\r\n\r\n", 400),
    "LF only": (b"POST /a HTTP/1.1\nHost: x\n\n", 400),
    "NUL in value": (_HEAD + b"X: a\0b\r\nContent-Length: 0\r\n\r\n", 400),
    "space before colon": (_HEAD + b"X : a\r\nContent-Length: 0\r\n\r\n", 400),
    "two codings": (_HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501),
    "coding twice": (
        _HEAD + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "coding in 1.0": (b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    "no host": (b"GET / HTTP/1.1\r\n\r\n", 400),
    "two hosts": (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
    "upgrade": (b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", 501),
    "connect": (b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", 501),
    "expectation": (_HEAD + b"Expect: tea\r\nContent-Length: 1\r\n\r\na", 417),
    "fragment": (b"GET /a#b HTTP/1.1\r\nHost: a\r\n\r\n", 400),
    "large section": (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 33_000 + b"\r\n\r\n", 431),
    "endless section": (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 80_000, 431),
    "many fields": (b"GET / HTTP/1.1\r\nHost: a\r\n" + b"A: b\r\n" * 300 + b"\r\n", 431),
}


@pytest.mark.parametrize("name", _REFUSED_MESSAGES)
async def test_ambiguous_or_unsupported_message_is_refused(start_server, open_raw, name):
    """Guards against framing that two parsers could read differently (request smuggling)."""
    data, status = _REFUSED_MESSAGES[name]
    reader, writer = await open_raw(await start_server())
    writer.write(data)
    found, head, _ = await conftest.read_answer(reader)
    assert found == status
    assert (b"laburnumford-outcome", b"refused") in head
    assert await asyncio.wait_for(reader.read(), 5) == b""


@pytest.mark.parametrize(
    "chunk",
    [b"ZZ\r\nabc\r\n", b"3\nabc\r\n", b"-1\r\n", b"3\r\nabcd\r\n", b'3;a="b\nc"\r\nabc\r\n'],
)
async def test_invalid_chunk_reaches_the_reader_as_error(start_server, open_raw, chunk):
    """Guards against a body that ends without an error at an invalid chunk."""
    errors = []

    async def collect(received, connection):
        try:
            while await received.body.read():
                pass
        except Exception as error:
            errors.append(error)
        connection.abort()

    _, writer = await open_raw(await start_server(collect))
    writer.write(_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk)
    async with asyncio.timeout(5):
        while not errors:
            await asyncio.sleep(0.001)
    assert "invalid HTTP message" in str(errors[0])


async def test_pipelined_requests_are_answered_in_order(start_server, open_raw):
    """Guards against answers in another order than their requests on one connection."""
    reader, writer = await open_raw(await start_server())
    writer.write(b"".join(b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n" % i for i in range(50)))
    for i in range(50):
        _, _, body = await conftest.read_answer(reader)
        assert body == b"GET /%d " % i


async def test_trailers_reach_the_handler(start_server, open_raw):
    """Guards against trailer fields that are lost or read as header fields."""
    reader, writer = await open_raw(await start_server())
    writer.write(_HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: v\r\n\r\n")
    assert (await conftest.read_answer(reader))[2] == b"POST /a abct=v"


async def test_continue_is_sent_when_the_body_is_read(start_server, open_raw):
    """Guards against callers that wait for 100 Continue indefinitely."""
    reader, writer = await open_raw(await start_server())
    writer.write(_HEAD + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
    line = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
    assert line == b"HTTP/1.1 100 Continue\r\n\r\n"
    writer.write(b"abc")
    assert (await conftest.read_answer(reader))[2] == b"POST /a abc"


async def test_unread_body_closes_the_connection(start_server, open_raw):
    """Guards against the rest of a body being parsed as the next request."""

    async def answer_early(received, connection):
        connection.write(conftest.ANSWER_HEAD % 0)

    reader, writer = await open_raw(await start_server(answer_early))
    writer.write(_HEAD + b"Content-Length: 1000000\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n")
    assert (await conftest.read_answer(reader))[0] == 200
    assert await asyncio.wait_for(reader.read(), 5) == b""


async def test_answer_arrives_while_the_body_is_still_being_sent(start_server, open_raw):
    """Guards against a reset by which a caller that still sends its body loses the answer."""

    async def answer_early(received, connection):
        connection.write(conftest.ANSWER_HEAD % 2 + b"no")

    reader, writer = await open_raw(await start_server(answer_early))
    writer.write(_HEAD + b"Content-Length: 8000000\r\n\r\n" + b"a" * 8_000_000)
    await asyncio.wait_for(writer.drain(), 5)
    assert (await conftest.read_answer(reader))[2] == b"no"


async def test_closing_caller_cancels_the_handler(start_server, open_raw):
    """Guards against a handler that keeps running for a caller that has disconnected."""
    started, cancelled = asyncio.Event(), asyncio.Event()

    async def wait(received, connection):
        started.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise

    _, writer = await open_raw(await start_server(wait))
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    await asyncio.wait_for(started.wait(), 5)
    writer.transport.abort()
    await asyncio.wait_for(cancelled.wait(), 5)


async def test_slow_reader_bounds_the_buffer(start_server, open_raw):
    """Guards against a fast sender that fills the memory of the node."""
    bodies = []
    release = asyncio.Event()

    async def hold(received, connection):
        bodies.append(received.body)
        await release.wait()
        connection.abort()

    _, writer = await open_raw(await start_server(hold))
    writer.write(_HEAD + b"Content-Length: 50000000\r\n\r\n" + b"a" * 5_000_000)
    async with asyncio.timeout(5):
        while not bodies or bodies[0].received_bytes < 32 * 1024:
            await asyncio.sleep(0.001)
    for _ in range(50):
        await asyncio.sleep(0)
    assert bodies[0].received_bytes <= 64 * 1024
    release.set()


async def test_connection_with_slow_header_section_is_closed(start_server, open_raw):
    """Guards against connections that send one byte at a time."""
    listening = await start_server(header_timeout_s=0.2)
    reader, writer = await open_raw(listening)
    writer.write(b"GET / HTTP/1.1\r\n")
    with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
        await asyncio.wait_for(reader.readexactly(1), 5)


async def test_connections_above_the_limit_are_closed(start_server, open_raw):
    """Guards against an unbounded number of connections."""
    listening = await start_server(max_connections=2)
    for _ in range(2):
        reader, writer = await open_raw(listening)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await conftest.read_answer(reader)
    reader, _ = await open_raw(listening)
    assert await asyncio.wait_for(reader.read(), 5) == b""
    assert listening.refused_connections == 1


async def test_drain_answers_the_request_in_flight(start_server, open_raw):
    """Guards against a planned stop that resets a connection during an answer."""
    started, release = asyncio.Event(), asyncio.Event()

    async def slow(received, connection):
        started.set()
        await release.wait()
        connection.write(conftest.ANSWER_HEAD % 2 + b"ok")

    listening = await start_server(slow)
    reader, writer = await open_raw(listening)
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    await asyncio.wait_for(started.wait(), 5)
    draining = asyncio.create_task(listening.drain(5.0))
    await asyncio.sleep(0)
    release.set()
    assert (await conftest.read_answer(reader))[2] == b"ok"
    assert await draining == 0


@settings(derandomize=True, deadline=None, max_examples=150)
@given(data=st.binary(max_size=400), prefix_bytes=st.integers(0, 400))
def test_malformed_bytes_leave_the_server_running(data, prefix_bytes):
    """Guards against input that ends the process or the listener."""

    async def run():
        async with asyncio.timeout(10):
            await _send_malformed(data, prefix_bytes)

    asyncio.run(run())


async def _send_malformed(data, prefix_bytes):
    listening = server.Server(
        address="127.0.0.1:0",
        handler=conftest.echo,
        on_bad_message=problem.answer_bad_message,
        clock=time.monotonic,
        max_connections=10,
        max_header_bytes=32 * 1024,
        header_timeout_s=5.0,
        idle_timeout_s=5.0,
    )
    await listening.start()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", listening.port)
        writer.write(b"POST / HTTP/1.1\r\nHost: x\r\n"[:prefix_bytes] + data)
        writer.write_eof()
        await reader.read()
        writer.close()
        reader, writer = await asyncio.open_connection("127.0.0.1", listening.port)
        writer.write(b"GET /next HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await conftest.read_answer(reader))[2] == b"GET /next "
        writer.close()
    finally:
        await listening.close()


async def test_process_over_its_limit_stops_reading_and_releases_all_bytes(start_server, open_raw):
    """Guards against many callers that together fill the memory of the node."""
    limit = buffer_limit.BufferLimit(process_limit_bytes=100_000)
    release = asyncio.Event()

    async def hold(received, connection):
        await release.wait()
        while await received.body.read():
            pass
        connection.write(conftest.ANSWER_HEAD % 0)

    listening = await start_server(hold, buffers=limit)
    callers = [await open_raw(listening) for _ in range(10)]
    for _, writer in callers:
        writer.write(_HEAD + b"Content-Length: 60000\r\n\r\n" + b"a" * 60_000)
    async with asyncio.timeout(5):
        while limit.pauses_count < 5:
            await asyncio.sleep(0.001)
    assert limit.held_bytes <= 100_000 + 10 * 32 * 1024
    callers[0][1].transport.abort()
    release.set()
    for reader, _ in callers[1:]:
        assert (await conftest.read_answer(reader))[0] == 200
    assert limit.held_bytes == 0
