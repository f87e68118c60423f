"""Tests of answers that a server cuts off anywhere, and closes or resets the connection (issue 30).

Only an answer whose end is known may reach a caller: one with its declared length, with its last
chunk, or without a length before a close. Everything else fails the exchange.
"""

import asyncio
import contextlib
import socket
import struct

import pytest

from laburnumford_mesh.http import buffer_budget, read_limits, server_pool
from laburnumford_node.http import errors

INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
WITH_LENGTH = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2;ext=1\r\nbo\r\n2\r\ndy\r\n0\r\nX-Trailer: t\r\n\r\n"
)
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nbody"
OTHER_CODING = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: gzip\r\n\r\nbody"
EMPTY = b"HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n"
OTHER_ANSWER = b"HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nstale"


@pytest.fixture
async def exchange():
    """Returns a function that exchanges one request with a server that writes bytes and ends.

    The server answers an earlier request on the same connection completely.
    """
    script = {"data": b"", "reset": False}
    writers = []

    async def serve(reader, writer):
        writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OTHER_ANSWER)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(script["data"])
            await writer.drain()
            if script["reset"]:
                # Lets the bytes arrive before the reset, which may drop unread ones.
                await asyncio.sleep(0.005)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                writer.transport.abort()
        writer.close()

    listening = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = listening.sockets[0].getsockname()

    async def run(data, *, reset):
        script.update(data=data, reset=reset)
        pool = server_pool.ServerPool(
            address=f"{host}:{port}",
            id_field=b"x-id",
            connect_timeout_s=1.0,
            limits=read_limits.ReadLimits(),
            budget=buffer_budget.BufferBudget(max_bytes=100_000),
        )
        try:
            async with asyncio.timeout(5):
                for request_id in (b"0", b"1"):
                    connection = await pool.acquire(10.0, request_id)
                    found = await connection.send(b"GET", b"GET / HTTP/1.1\r\n\r\n", request_id)
                    pool.release(connection)
                assert pool.opened_count == 1
                return found
        finally:
            pool.close()

    yield run
    listening.close()
    for writer in writers:
        writer.transport.abort()


@pytest.mark.parametrize("reset", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize(
    "answer",
    [
        WITH_LENGTH,
        CHUNKED,
        INFORMATIONAL + INFORMATIONAL + WITH_LENGTH,
        OTHER_ANSWER + WITH_LENGTH,
        EMPTY,
    ],
    ids=["length", "chunked", "informational", "behind another answer", "without body"],
)
async def test_answer_that_is_cut_anywhere_is_an_error(exchange, answer, reset):
    """Guards against a success with an empty or short body that is framed as whole."""
    assert (await exchange(answer, reset=False)).body in {b"body", b""}
    for size in range(len(answer)):
        with pytest.raises(errors.HttpError):
            await exchange(answer[:size], reset=reset)


async def test_answer_without_length_that_is_cut_in_its_head_is_an_error(exchange):
    """Guards against a head that the end of the connection completes."""
    head_size = WITHOUT_LENGTH.index(b"\r\n\r\n") + 4
    for size in range(head_size):
        with pytest.raises(errors.HttpError):
            await exchange(WITHOUT_LENGTH[:size], reset=False)
    assert (await exchange(WITHOUT_LENGTH, reset=False)).body == b"body"


async def test_answer_without_length_that_is_reset_is_an_error(exchange):
    """Guards against a reset that is taken for the end of the body."""
    for size in range(len(WITHOUT_LENGTH) + 1):
        with pytest.raises(errors.HttpError):
            await exchange(WITHOUT_LENGTH[:size], reset=True)


async def test_answer_in_another_coding_without_an_end_is_an_error(exchange):
    """Guards against a body in a coding whose end the connection does not know."""
    for size in range(len(OTHER_CODING) + 1):
        with pytest.raises(errors.HttpError):
            await exchange(OTHER_CODING[:size], reset=False)
