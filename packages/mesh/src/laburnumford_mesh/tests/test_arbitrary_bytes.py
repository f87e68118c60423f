"""Property-based tests of the protocols that read bytes of other processes (issue 30).

An error that leaves `data_received` closes the connection with nothing but asyncio's own log line.
"""

import asyncio
import contextlib
import itertools

import hypothesis
import hypothesis.strategies as st
import pytest

from laburnumford_mesh import event_log, frames, limits, link
from laburnumford_mesh.http import (
    answer,
    buffer_budget,
    caller_memory,
    edge_connection,
    read_limits,
    server_connection,
)
from laburnumford_node.http import errors

HELLO = frames.encode_for_stream(frames.Hello(2, False))
STREAMS = [
    HELLO + frames.encode_for_stream(frames.Pull(1)) + frames.encode_for_stream(frames.Ping()),
    HELLO + frames.encode_for_stream(frames.PullResponse(1, 0.0, True, b"x")),
    HELLO + frames.LENGTH_PREFIX.pack(5004) + b"\x94\x00\x01\xc2" + b"\x91" * 5000,
]
ANSWERS = [
    b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody",
    b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    b"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=9\r\n\r\nbody",
]
REQUESTS = [
    b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n" * 3,
    b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
]
PROPERTY = hypothesis.settings(derandomize=True, deadline=None, max_examples=300)


class FakeTransport(asyncio.Transport):
    """Records what is written, and whether the connection was ended."""

    def __init__(self):
        super().__init__({"peername": ("1.1.1.1", 1)})
        self.written = bytearray()
        self.ended = False

    def write(self, data):
        """Records bytes."""
        self.written += data

    def set_write_buffer_limits(self, high=None, low=None):
        """Does nothing; writing is never paused."""

    def is_closing(self):
        """Returns whether the connection was ended."""
        return self.ended

    def abort(self):
        """Ends the connection."""
        self.ended = True

    close = abort

    def can_write_eof(self):
        """Returns False."""
        return False

    def get_write_buffer_size(self):
        """Returns 0."""
        return 0

    def pause_reading(self):
        """Does nothing."""

    def resume_reading(self):
        """Does nothing."""


def _streams(valid):
    """Returns a strategy of lists of chunks: a valid stream with some bytes replaced or inserted."""

    def change(drawn):
        stream, at, replaced, inserted, cuts = drawn
        at %= len(stream) + 1
        changed = stream[:at] + inserted + stream[at + replaced :]
        places = sorted({0, len(changed), *(cut % (len(changed) + 1) for cut in cuts)})
        return [changed[a:b] for a, b in itertools.pairwise(places)]

    return st.tuples(
        st.sampled_from(valid),
        st.integers(0, 10_000),
        st.integers(0, 8),
        st.binary(max_size=24),
        st.lists(st.integers(0, 10_000), max_size=4),
    ).map(change)


async def _serve(chunks):
    """Returns what a connection of a caller answers to some chunks of bytes."""

    async def handle(_):
        return answer.Answer(status=200, reason=b"OK", fields=(), body=b"")

    budget = buffer_budget.BufferBudget(max_bytes=100_000)
    connection = edge_connection.EdgeConnection(
        handler=handle,
        limits=limits.Limits,
        on_closed=lambda _: None,
        memory=caller_memory.CallerMemory(
            budget=budget,
            readers=(),
            address="a",
            log=event_log.EventLog(node="n"),
        ),
    )
    transport = FakeTransport()
    connection.connection_made(transport)
    for chunk in chunks:
        if not transport.ended:
            connection.data_received(chunk)
        await asyncio.sleep(0)
    for _ in range(3):
        await asyncio.sleep(0)
    connection.connection_lost(None)
    for _ in range(3):
        await asyncio.sleep(0)
    assert budget.reserved_bytes == 0
    return bytes(transport.written)


@PROPERTY
@hypothesis.given(chunks=_streams(STREAMS))
def test_link_raises_for_no_bytes(chunks):
    """Guards against a stream that closes on a frame without saying why."""
    received = link.Link(
        hello=frames.Hello(1, False),
        on_frame=lambda *_: None,
        on_lost=lambda _: None,
        budget=buffer_budget.BufferBudget(max_bytes=10_000),
    )
    transport = FakeTransport()
    received.connection_made(transport)
    for chunk in chunks:
        if not transport.ended:
            received.data_received(chunk)


@PROPERTY
@hypothesis.given(chunks=_streams(ANSWERS))
def test_server_connection_raises_for_no_bytes(chunks):
    """Guards against an exchange that neither ends nor fails because of an unexpected error."""

    async def exchange():
        connection = server_connection.ServerConnection(
            limits=read_limits.ReadLimits(),
            budget=buffer_budget.BufferBudget(max_bytes=10_000),
            id_field=b"x-id",
        )
        transport = FakeTransport()
        connection.connection_made(transport)
        task = asyncio.create_task(connection.send(b"GET", b"GET / HTTP/1.1\r\n\r\n", b"1"))
        await asyncio.sleep(0)
        for chunk in chunks:
            if not transport.ended:
                connection.data_received(chunk)
        connection.eof_received()
        connection.connection_lost(None)
        with contextlib.suppress(errors.HttpError):
            assert (await task).status >= 200
        assert not connection.reusable

    asyncio.run(exchange())


@PROPERTY
@hypothesis.given(chunks=_streams(REQUESTS))
def test_edge_connection_raises_for_no_bytes(chunks):
    """Guards against a caller whose connection closes without an answer."""
    asyncio.run(_serve(chunks))


def test_nested_element_of_a_message_is_logged(caplog):
    """Guards against a property-based test that never reaches the decoder of frames."""
    received = link.Link(
        hello=frames.Hello(1, False),
        on_frame=lambda *_: None,
        on_lost=lambda _: None,
        budget=buffer_budget.BufferBudget(max_bytes=10_000),
    )
    transport = FakeTransport()
    received.connection_made(transport)
    received.data_received(STREAMS[2])
    assert transport.ended
    assert "invalid message" in caplog.text


@pytest.mark.parametrize("stream", REQUESTS, ids=["pipelined", "length", "chunked"])
def test_valid_requests_are_answered(stream):
    """Guards against property-based tests whose streams are never valid."""
    written = asyncio.run(_serve([stream]))
    assert written.count(b"HTTP/1.1 200") == stream.count(b"HTTP/1.1")
