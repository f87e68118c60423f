"""Tests of servers that send an answer without end."""

import asyncio
import time

import pytest

from laburnumford_mesh.http.tests import flooding_server, test_endless_answers
from laburnumford_node import exchange, payload
from laburnumford_node.http import buffer_limit, errors, pool

_ENDLESS_FRAMING = (
    "status line",
    "header fields",
    "header name",
    "header value",
    "chunk size",
    "chunk extension",
    "trailers",
    "informational answers",
    "no HTTP",
)
_MAX_SENT_BYTES = 16 * 1024 * 1024
"""Largest socket buffers of both ends; the connection itself reads a small part of this."""


async def _read_answer(ongoing):
    received = await ongoing.send(
        method=b"GET", target=b"/", head=[], payload=payload.Payload(data=b"")
    )
    while await received.body.read():
        pass


@pytest.mark.parametrize("name", _ENDLESS_FRAMING)
async def test_endless_framing_of_an_answer_is_cut_off(name):
    """Guards against a server that fills the node's memory with the head of one answer (issue 40)."""
    buffers = buffer_limit.BufferLimit(call_limit_bytes=65_536, process_limit_bytes=1_000_000)
    answer = test_endless_answers.ENDLESS_ANSWERS[name]
    async with flooding_server.FloodingServer(*answer) as server:
        address = f"127.0.0.1:{server.port}"
        connections = pool.Pool(
            clock=time.monotonic, connect_timeout_s=1, idle_timeout_s=5, buffers=buffers
        )
        connection = await connections.acquire(address)
        ongoing = exchange.Exchange(
            connection=connection, release=lambda _: connections.release(address, connection)
        )
        with pytest.raises(errors.HttpError):
            await asyncio.wait_for(_read_answer(ongoing), 5)
        ongoing.abandon()
        await asyncio.wait_for(server.closed.wait(), 5)
        assert server.sent_bytes <= _MAX_SENT_BYTES
        assert not connection.reusable
        connections.close()
