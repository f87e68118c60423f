"""Tests of streams of frames between nodes."""

import asyncio
import socket
import struct

import pytest

from laburnumford_mesh import frames, link
from laburnumford_mesh.http import buffer_budget
from laburnumford_mesh.tests import waiting


@pytest.fixture
async def stream():
    """Returns a link that accepted a connection, the frames it received, and the other end."""
    received = []
    links = []

    def accept():
        made = link.Link(
            hello=frames.Hello(1, False),
            on_frame=lambda _, frame: received.append(frame),
            on_lost=lambda _: None,
            budget=buffer_budget.BufferBudget(max_bytes=2_000_000),
        )
        links.append(made)
        return made

    server = await asyncio.get_running_loop().create_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    await reader.readexactly(len(frames.encode_for_stream(frames.Hello(1, False))))
    yield links[0], received, reader, writer
    writer.close()
    server.close()


async def test_first_frame_must_be_small(stream):
    """Guards against a stranger that announces a frame of megabytes and sends it."""
    _, received, reader, writer = stream
    writer.write(frames.LENGTH_PREFIX.pack(1_000_000) + b"x" * 1000)
    async with asyncio.timeout(5):
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
    assert not received


async def test_frames_after_the_hello_may_be_large(stream):
    """Guards against a limit on the first frame that rejects large requests after it."""
    _, received, _, writer = stream
    writer.write(frames.encode_for_stream(frames.Hello(2**62 - 1, True)))
    response = frames.PullResponse(1, 0.0, False, b"x" * 1_000_000)
    writer.write(frames.encode_for_stream(response))
    async with asyncio.timeout(5):
        while len(received) < 2:
            await asyncio.sleep(0.01)
    assert received[1] == response


async def test_frame_that_cannot_be_handled_does_not_close_the_stream(stream, caplog):
    """Guards against a stream that is closed, and opened again, for each such frame (issue 30).

    Neither the frames behind it nor calls in flight on the stream may suffer from it.
    """
    made, received, _, writer = stream
    frames_handled = received.append

    def handle(_, frame):
        if isinstance(frame, frames.Pull):
            raise OverflowError("too large")
        frames_handled(frame)

    made._on_frame = handle
    for frame in (frames.Hello(2, False), frames.Pull(1), frames.Ping()):
        writer.write(frames.encode_for_stream(frame))
    async with asyncio.timeout(5):
        while len(received) < 2:
            await asyncio.sleep(0.01)
    assert received[1] == frames.Ping()
    assert not made.lost
    assert "cannot handle Pull" in caplog.text


async def test_undecodable_frame_is_logged(stream, caplog):
    """Guards against a stream that closes without a log line."""
    _, _, reader, writer = stream
    writer.write(frames.LENGTH_PREFIX.pack(3) + b"\xff\xff\xff")
    async with asyncio.timeout(5):
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
    assert "it is closed" in caplog.text


async def test_stream_that_is_reset_while_it_is_opened_is_no_error(caplog):
    """Guards against an uncaught error when a node is killed just after it was connected to.

    The address of the other end is unknown then.
    """
    lost = asyncio.Event()
    with socket.create_server(("127.0.0.1", 0)) as listening:
        connecting = socket.create_connection(listening.getsockname())
        accepted, _ = listening.accept()
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        accepted.close()
    connecting.setblocking(False)
    await waiting.until(lambda: not _is_connected(connecting))
    await asyncio.get_running_loop().create_connection(
        lambda: link.Link(
            hello=frames.Hello(1, False),
            on_frame=lambda *_: None,
            on_lost=lambda _: lost.set(),
            budget=buffer_budget.BufferBudget(max_bytes=2_000_000),
        ),
        sock=connecting,
    )
    async with asyncio.timeout(5):
        await lost.wait()
    assert not caplog.records


def _is_connected(connecting):
    try:
        connecting.getpeername()
    except OSError:
        return False
    return True
