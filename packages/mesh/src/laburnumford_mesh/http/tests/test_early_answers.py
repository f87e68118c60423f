"""Tests of answers that arrive while the request is being written, and of impossible statuses."""

import asyncio
import contextlib
import socket
import struct

import pytest

from laburnumford_mesh.http import buffer_budget, read_limits, server_pool
from laburnumford_node.http import errors, fields

ID_FIELD = b"x-id"
UPLOAD_BYTES = 16 * 1024 * 1024
"""More than the socket buffers of both ends hold, so that part of the upload stays unwritten."""

HEAD_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n"


def _reset(writer):
    # With a linger time of 0 the kernel closes by a reset.
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


@pytest.fixture
async def play():
    """Returns a function that sends a request to a server with a given behavior."""
    async with contextlib.AsyncExitStack() as stack:

        async def run(serve, body):
            started = await asyncio.start_server(serve, "127.0.0.1", 0)
            stack.callback(started.close)
            pool = server_pool.ServerPool(
                address=f"127.0.0.1:{started.sockets[0].getsockname()[1]}",
                id_field=ID_FIELD,
                connect_timeout_s=1.0,
                limits=read_limits.ReadLimits(),
                budget=buffer_budget.BufferBudget(max_bytes=1_000_000),
            )
            stack.callback(pool.close)
            connection = await pool.acquire(float("inf"))
            stack.callback(connection.close)
            head = fields.encode(
                b"POST / HTTP/1.1",
                [(b"host", b"h"), (b"x-id", b"1"), (b"content-length", b"%d" % len(body))],
            )
            async with asyncio.timeout(5.0):
                return await connection.send(b"POST", head + body, b"1")

        yield run


@pytest.mark.parametrize("end", ["reset", "fin", "fin and reset"])
async def test_early_answer_without_length_is_not_complete(play, end):
    """Guards against a part of an answer that is delivered as whole.

    The server answers before it has read the upload. Nothing but the end of the connection
    delimits the answer, and the connection ends because the server gives up.
    """
    ended = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD_WITHOUT_LENGTH + b"\r\npart of the body")
        await writer.drain()
        if end != "reset":
            writer.write_eof()
        if end == "fin":
            # The connection stays open for reading, and nothing more is read.
            await ended.wait()
        if end == "fin and reset":
            await asyncio.sleep(0.05)
        _reset(writer)

    with pytest.raises(errors.HttpError):
        await play(serve, b"u" * UPLOAD_BYTES)
    ended.set()


async def test_answer_without_length_after_the_whole_request_is_complete(play):
    """Guards against a rejection of every answer that the end of the connection delimits."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(UPLOAD_BYTES)
        writer.write(HEAD_WITHOUT_LENGTH + b"\r\nwhole body")
        writer.close()

    answer = await play(serve, b"u" * UPLOAD_BYTES)
    assert answer.body == b"whole body"


async def test_early_answer_with_length_is_complete(play):
    """Guards against a rejection of early answers that have their declared length."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD_WITHOUT_LENGTH + b"Content-Length: 4\r\n\r\nbody")
        await reader.readexactly(UPLOAD_BYTES)
        writer.close()

    answer = await play(serve, b"u" * UPLOAD_BYTES)
    assert answer.body == b"body"


@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"600", b"999"])
async def test_status_out_of_range_is_no_answer(play, status):
    """Guards against an impossible status that reaches the caller or leaves it waiting."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 " + status + b" Unknown\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody"
        )
        await writer.drain()
        with contextlib.suppress(ConnectionError):
            await reader.read()
        writer.close()

    with pytest.raises(errors.BadMessageError):
        await play(serve, b"")
