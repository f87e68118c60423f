"""Tests of outgoing connections and the pool."""

import asyncio

import pytest

from laburnumford_node import exchange, payload
from laburnumford_node.http import errors

_OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def _answering(*answers):
    """Returns a script that answers each request of a connection in turn."""

    async def script(reader, writer):
        for answer in answers:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
        await reader.read()

    return script


async def _get(connections, address, method=b"GET"):
    connection = await connections.acquire(address)
    ongoing = exchange.Exchange(
        connection=connection, release=lambda _: connections.release(address, connection)
    )
    async with asyncio.timeout(5):
        answer = await ongoing.send(
            method=method, target=b"/", head=[(b"host", b"x")], payload=payload.Payload(data=b"")
        )
        data = b""
        while part := await answer.body.read():
            data += part
        await ongoing.end(whole=True)
    return answer.status, data, connection


async def test_connection_is_reused_after_a_complete_answer(start_raw_server, connections):
    """Guards against a new connection for each call."""
    address = await start_raw_server(_answering(_OK, _OK))
    assert (await _get(connections, address))[:2] == (200, b"ok")
    assert (await _get(connections, address))[:2] == (200, b"ok")
    assert connections.opened_count == 1


@pytest.mark.parametrize(
    "answer",
    [
        _OK + b"extra",
        _OK + _OK,
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok",
        b"HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
    ],
    ids=["extra bytes", "second answer", "close", "HTTP/1.0"],
)
async def test_connection_is_not_reused(start_raw_server, connections, answer):
    """Guards against a later request that gets bytes of an earlier answer."""
    address = await start_raw_server(_answering(answer, _OK))
    connection = (await _get(connections, address))[2]
    assert not connection.reusable


async def test_unsolicited_bytes_close_an_idle_connection(start_raw_server, connections):
    """Guards against an unsolicited answer that is taken for the answer to the next request."""
    late = asyncio.Event()

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(_OK)
        await late.wait()
        writer.write(_OK)
        await reader.read()

    address = await start_raw_server(script)
    connection = (await _get(connections, address))[2]
    assert connection.reusable
    late.set()
    async with asyncio.timeout(5):
        while connection.reusable:
            await asyncio.sleep(0.001)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-le",
        b"HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nabc",
        b"garbage\r\n\r\n",
        b"",
        b"HTTP/1.1 000 Unknown\r\ncontent-length: 2\r\n\r\nok",
        b"HTTP/1.1 600 Unknown\r\ncontent-length: 2\r\n\r\nok",
    ],
)
async def test_truncated_or_invalid_answer_is_an_error(start_raw_server, connections, answer):
    """Guards against a truncated or invalid answer that is taken for a complete one."""

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()

    address = await start_raw_server(script)
    with pytest.raises(errors.HttpError):
        await _get(connections, address)


@pytest.mark.parametrize(
    ("method", "answer", "status"),
    [
        (b"HEAD", b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n", 200),
        (b"HEAD", b"HTTP/1.1 200 OK\r\n\r\n", 200),
        (b"GET", b"HTTP/1.1 204 No Content\r\n\r\n", 204),
        (b"GET", b"HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n", 304),
        (b"GET", b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n" + _OK, 200),
        (b"GET", b"HTTP/1.1 100 Continue\r\n\r\n" + _OK, 200),
    ],
)
async def test_answers_without_body(start_raw_server, connections, method, answer, status):
    """Guards against waiting for a body that never comes."""
    address = await start_raw_server(_answering(answer))
    assert (await _get(connections, address, method))[0] == status


async def test_refused_connection_is_an_error_before_writing(connections):
    """Guards against reporting that an unreachable server may have run the request."""
    with pytest.raises(errors.ConnectError):
        await connections.acquire("127.0.0.1:1")


@pytest.mark.parametrize("address", ["127.0.0.1:70000", "127.0.0.1:\u00b2", "..:80", "a\x00b:80"])
async def test_unusable_address_is_a_failed_connect(connections, address):
    """Guards against an error that the callers of the pool do not handle."""
    with pytest.raises(errors.ConnectError):
        await connections.acquire(address)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nx-t: t\r\n\r\n",
        b"HTTP/1.1 103 Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
    ],
    ids=["length", "chunked", "informational"],
)
async def test_answer_that_is_cut_anywhere_is_an_error(start_raw_server, connections, answer):
    """Guards against a success with an empty or short body that is framed as whole (issue 30)."""
    sizes = iter(range(len(answer) + 1))

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(_OK)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer[: next(sizes)])
        await writer.drain()

    address = await start_raw_server(script)
    for size in range(len(answer) + 1):
        assert (await _get(connections, address))[0] == 200
        if size == len(answer):
            assert (await _get(connections, address))[1] == b"body"
        else:
            with pytest.raises(errors.HttpError):
                await _get(connections, address)
