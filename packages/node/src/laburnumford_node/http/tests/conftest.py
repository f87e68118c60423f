"""Fixtures for tests of the HTTP connections."""

import asyncio
import time

import pytest

from laburnumford_node import problem
from laburnumford_node.http import fields, pool, server

ANSWER_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"


async def echo(received, connection):
    """Answers with method, target and body."""
    data = bytearray()
    while part := await received.body.read():
        data += part
    if not received.keep_alive:
        connection.close_after_answer()
    trailers = b"".join(name + b"=" + value for name, value in received.body.trailers)
    text = received.method + b" " + received.target + b" " + bytes(data) + trailers
    connection.write(ANSWER_HEAD % len(text) + text)


@pytest.fixture
async def start_server():
    """Returns a function that starts a server with a handler and returns it."""
    started = []

    async def start(handler=echo, **parameters):
        limits = {
            "max_connections": 10,
            "max_header_bytes": 32 * 1024,
            "header_timeout_s": 5.0,
            "idle_timeout_s": 5.0,
        }
        listening = server.Server(
            address="127.0.0.1:0",
            handler=handler,
            on_bad_message=problem.answer_bad_message,
            clock=time.monotonic,
            **{**limits, **parameters},
        )
        await listening.start()
        started.append(listening)
        return listening

    yield start
    for listening in started:
        await listening.close()


@pytest.fixture
async def open_raw():
    """Returns a function that opens a TCP connection without an HTTP client to a server."""
    writers = []

    async def connect(listening):
        reader, writer = await asyncio.open_connection("127.0.0.1", listening.port)
        writers.append(writer)
        return reader, writer

    yield connect
    for writer in writers:
        writer.transport.abort()


@pytest.fixture
async def start_raw_server():
    """Returns a function that starts a TCP server without HTTP parsing and returns its address.

    The function takes a coroutine function with reader and writer, which runs once
    for each connection.
    """
    started = []

    async def start(script):
        async def run(reader, writer):
            try:
                await script(reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        listening = await asyncio.start_server(run, "127.0.0.1", 0)
        started.append(listening)
        return f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"

    yield start
    for listening in started:
        listening.close()


@pytest.fixture
def connections():
    """Returns a pool of outgoing connections."""
    made = pool.Pool(clock=time.monotonic, connect_timeout_s=1.0, idle_timeout_s=60.0)
    yield made
    made.close()


async def read_answer(reader):
    """Returns status, fields and body of an answer with a declared length."""
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
    lines = head.decode("latin-1").split("\r\n")
    found = [
        (name.lower().encode(), value.strip().encode())
        for name, _, value in (line.partition(":") for line in lines[1:] if line)
    ]
    length = int(fields.get(found, b"content-length") or b"0")
    return int(lines[0].split()[1]), found, await asyncio.wait_for(reader.readexactly(length), 5)
