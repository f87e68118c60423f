"""Tests of bodies that are sent between nodes in chunks."""

import asyncio
import random
import socket
from typing import Any

import pytest

from laburnumford_mesh import errors, frames, incoming_body, incoming_requests, link
from laburnumford_mesh.http import buffer_budget
from laburnumford_mesh.tests import call_ends, waiting

BODY = random.Random(1).randbytes(600_000)


@pytest.fixture
async def receiver():
    """Returns a started receiver."""
    made = call_ends.Receiver()
    await made.start()
    yield made
    await made.listener.close()


@pytest.fixture
async def sender(receiver):
    """Returns a sender that calls the receiver."""
    made = call_ends.Sender(receiver.port)
    yield made
    await made.close()


@pytest.fixture
def drop_stream_in_body(sender, monkeypatch):
    """Makes the stream of the sender break once, when a few chunks of a body have arrived."""
    add = incoming_body.IncomingBody.add
    chunk_count = 0

    def add_and_drop(self, source, chunk):
        nonlocal chunk_count
        add(self, source, chunk)
        chunk_count += 1
        if chunk_count == 3:
            sender.peer.drop_stream()

    monkeypatch.setattr(incoming_body.IncomingBody, "add", add_and_drop)
    yield
    assert chunk_count > 3


@pytest.fixture
async def raw(receiver):
    """Returns a function that sends frames to the receiver, and the frames that came back."""
    received: list[Any] = []
    _, opened = await asyncio.get_running_loop().create_connection(
        lambda: _make_link(received),
        "127.0.0.1",
        receiver.port,
    )
    yield opened.send, received, opened
    opened.abort()


def _make_link(received, *, takes_chunks=True):
    return link.Link(
        hello=frames.Hello(5, False, takes_chunks=takes_chunks),
        on_frame=lambda _, frame: received.append(frame),
        on_lost=lambda _: None,
        budget=buffer_budget.BufferBudget(max_bytes=1_000_000),
    )


def _ended(received):
    chunks = _of_type(received, frames.BodyChunk)
    return bool(chunks) and chunks[-1].offset + len(chunks[-1].data) == 20_000_000


def _large_request(call_id, size):
    request = frames.Request(
        call_id, "a", b"POST", b"/", [], b"", 5.0, 5.0, False, 0, "k", False, False
    )
    return frames.LargeRequest(request, size)


def _of_type(received, frame_type):
    return [each for each in received if isinstance(each, frame_type)]


async def test_large_bodies_arrive_unchanged_and_free_their_memory(receiver, sender):
    """Guards against chunks that are lost or mixed up, and against memory that stays reserved."""
    receiver.answer_body = BODY[::-1]
    answer = await sender.call(body=BODY)
    assert receiver.bodies == [BODY]
    assert answer.body == BODY[::-1]
    await waiting.until(lambda: not receiver.budget.reserved_bytes)
    assert not sender.budget.reserved_bytes


@pytest.mark.usefixtures("drop_stream_in_body")
async def test_body_on_a_stream_that_breaks_is_sent_again_and_runs_once(receiver, sender):
    """Guards against a body with a gap, a second run, and memory that a broken stream keeps."""
    assert (await sender.call(body=BODY)).status == 200
    assert receiver.bodies == [BODY]
    await waiting.until(lambda: receiver.budget.reserved_bytes == len(b"x"))


@pytest.mark.usefixtures("drop_stream_in_body")
async def test_answer_on_a_stream_that_breaks_is_complete(receiver, sender):
    """Guards against a part of an answer that is taken for the complete one."""
    receiver.answer_body = BODY
    assert (await sender.call()).body == BODY
    assert len(receiver.runs) == 1
    await waiting.until(lambda: not receiver.budget.reserved_bytes)


async def test_broken_stream_frees_the_part_of_a_body(receiver, raw):
    """Guards against memory that a node which has failed keeps at another one."""
    send, received, opened = raw
    send(_large_request(1, 100_000))
    send(frames.BodyChunk(1, 0, memoryview(bytes(30_000))))
    await waiting.until(lambda: _of_type(received, frames.BodyGrant))
    opened.abort()
    await waiting.until(lambda: not receiver.budget.reserved_bytes)
    assert not receiver.runs


async def test_call_with_an_incomplete_body_is_refused_at_its_time():
    """Guards against an unknown outcome of a call whose body was not sent completely."""
    received: list[Any] = []
    server = await asyncio.get_running_loop().create_server(
        lambda: _make_link(received), "127.0.0.1", 0
    )
    sender = call_ends.Sender(server.sockets[0].getsockname()[1])
    with pytest.raises(errors.RefusedError, match="body-unsent"):
        await sender.call(timeout_s=0.5, body=BODY)
    await waiting.until(lambda: _of_type(received, frames.Cancel))
    await sender.close()
    server.close()


async def test_cancelled_call_frees_the_part_of_its_body(receiver, raw):
    """Guards against memory that the bodies of callers that left keep until their time is over."""
    send, received, _ = raw
    send(_large_request(1, 100_000))
    send(frames.BodyChunk(1, 0, memoryview(bytes(30_000))))
    await waiting.until(lambda: _of_type(received, frames.BodyGrant))
    send(frames.Cancel(1))
    await waiting.until(lambda: not receiver.budget.reserved_bytes)
    assert not receiver.runs


async def test_cancelled_call_frees_its_answer(receiver, sender):
    """Guards against answers that nobody fetches and that stay until they expire."""
    sender.budget.take(sender.budget.max_bytes)
    receiver.answer_body = BODY
    call = sender.call()
    await waiting.until(lambda: receiver.budget.reserved_bytes)
    call.cancel()
    await waiting.until(lambda: not receiver.budget.reserved_bytes)


async def test_ping_is_not_queued_behind_a_large_body():
    """Guards against pings and small requests that wait until a body of megabytes is sent.

    The other end does not read at first, so the body is not written as a whole.
    """
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        connected = socket.create_connection(listening.getsockname())
        accepted, _ = listening.accept()
    _, opened = await asyncio.get_running_loop().create_connection(
        lambda: _make_link([]), sock=connected
    )
    body = bytes(20_000_000)
    opened.send_body(1, body)
    await waiting.until(lambda: opened.bodies.paused)
    opened.send(frames.Ping())
    received: list[Any] = []
    accepted.setblocking(False)
    await asyncio.get_running_loop().connect_accepted_socket(
        lambda: _make_link(received), accepted
    )
    await waiting.until(lambda: _ended(received), within_s=20)
    before_ping = received[: received.index(frames.Ping())]
    size = sum(len(each.data) for each in _of_type(before_ping, frames.BodyChunk))
    assert size < len(body) / 2
    opened.abort()


async def test_answer_waits_until_the_sender_has_memory(receiver, sender):
    """Guards against answers that are dropped, or held twice, while the memory is full."""
    sender.budget.take(sender.budget.max_bytes)
    receiver.answer_body = BODY
    call = sender.call()
    await waiting.until(lambda: receiver.budget.reserved_bytes)
    sender.budget.release(sender.budget.max_bytes)
    assert (await call).body == BODY


async def test_stalled_body_is_given_up_and_never_runs(receiver, raw, monkeypatch):
    """Guards against a sender that stops in the middle of a body and keeps its memory."""
    monkeypatch.setattr(incoming_requests, "_STALL_TIMEOUT_S", 0.05)
    send, received, _ = raw
    send(_large_request(1, 100_000))
    await waiting.until(lambda: _of_type(received, frames.BodyGrant))
    send(frames.BodyChunk(1, 0, memoryview(bytes(30_000))))
    await asyncio.sleep(0.1)
    receiver.listener.sweep()
    await waiting.until(lambda: _of_type(received, frames.Refusal))
    assert not receiver.budget.reserved_bytes
    send(frames.BodyChunk(1, 30_000, memoryview(bytes(70_000))))
    send(_large_request(1, 100_000))
    await waiting.until(lambda: len(_of_type(received, frames.Refusal)) == 2)
    assert not receiver.runs


async def test_announced_body_that_does_not_fit_is_refused_before_it_is_sent(receiver, raw):
    """Guards against bodies that are sent to a node without memory for them."""
    send, received, _ = raw
    send(_large_request(1, receiver.budget.max_bytes + 1))
    await waiting.until(lambda: _of_type(received, frames.Refusal))
    assert _of_type(received, frames.Refusal)[0].reason == "memory-full"
    assert not _of_type(received, frames.BodyGrant)
    assert not receiver.budget.reserved_bytes


async def test_chunk_outside_of_the_body_is_ignored(receiver, raw):
    """Guards against a body that exceeds its reserved memory."""
    send, received, _ = raw
    send(_large_request(1, 100_000))
    await waiting.until(lambda: _of_type(received, frames.BodyGrant))
    send(frames.BodyChunk(1, 0, memoryview(bytes(100_001))))
    send(frames.BodyChunk(1, 50, memoryview(bytes(10))))
    send(frames.BodyChunk(1, 0, memoryview(bytes(100_000))))
    await waiting.until(lambda: receiver.runs)
    assert [len(body) for body in receiver.bodies] == [100_000]


async def test_frame_that_does_not_fit_closes_the_stream(receiver, raw):
    """Guards against the frames of nodes that send no chunks, which exceed the memory."""
    send, _, _ = raw
    await waiting.until(lambda: receiver.listener._link_by_incarnation)
    call = frames.Request(
        1, "a", b"POST", b"/", [], bytes(21_000_000), 5.0, 5.0, False, 0, "k", False, False
    )
    send(call)
    await waiting.until(lambda: not receiver.listener._link_by_incarnation)
    assert not receiver.budget.reserved_bytes
    assert not receiver.runs


async def test_published_values_are_received_while_the_memory_is_full(receiver, raw):
    """Guards against a node that learns of no configuration while bodies fill its memory."""
    send, received, _ = raw
    receiver.budget.take(receiver.budget.max_bytes)
    send(frames.PullResponse(1, 0.0, True, bytes(500_000)))
    send(frames.Ping())
    await waiting.until(lambda: _of_type(received, frames.Pong))


async def test_node_that_takes_no_chunks_gets_an_answer_in_one_frame(receiver, raw):
    """Guards against frames that a node of an earlier version cannot decode."""
    send, received, _ = raw
    receiver.answer_body = BODY
    send(frames.Hello(5, False))
    request = _large_request(1, 0).request
    send(request)
    await waiting.until(lambda: _of_type(received, frames.Answer))
    assert _of_type(received, frames.Answer)[0].body == BODY


async def test_call_that_is_cancelled_in_the_same_read_frees_its_body(receiver, raw):
    """Guards against memory, and a call in flight, that stay when a task never starts."""
    send, received, _ = raw
    send(_large_request(1, 30_000))
    await waiting.until(lambda: _of_type(received, frames.BodyGrant))
    send(frames.BodyChunk(1, 0, memoryview(bytes(30_000))))
    send(frames.Cancel(1))
    await waiting.until(lambda: not receiver.budget.reserved_bytes)
    await waiting.until(lambda: receiver.listener.in_flight_count == 0)


async def test_node_that_takes_no_chunks_gets_a_request_in_one_frame():
    """Guards against a call that is never answered by a node of an earlier version."""
    received: list[Any] = []
    server = await asyncio.get_running_loop().create_server(
        lambda: _make_link(received, takes_chunks=False), "127.0.0.1", 0
    )
    sender = call_ends.Sender(server.sockets[0].getsockname()[1])
    call = sender.call(body=BODY)
    await waiting.until(lambda: _of_type(received, frames.Request))
    assert _of_type(received, frames.Request)[0].body == BODY
    call.cancel()
    await sender.close()
    server.close()
