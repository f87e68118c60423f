"""Tests of streams of frames between nodes."""

import asyncio

import pytest

from laburnumford_mesh import frames, link


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
