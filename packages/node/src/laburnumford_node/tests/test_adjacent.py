"""Tests of the admission to the adjacent backend server."""

import asyncio
import time

import pytest

from laburnumford_node import adjacent, errors, payload
from laburnumford_node.http import pool
from laburnumford_policy.admission import admission

_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
_REFUSAL = (
    b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nlaburnumford-outcome: refused\r\n"
    b"laburnumford-reason: overloaded\r\n\r\n"
)


class Backend:
    """Answers each request with `answer` after `service_time_s` seconds.

    Attributes:
        repeats: whether each answer of a connection is sent again before the next one.
    """

    def __init__(self):
        self.answer = _ANSWER
        self.service_time_s = 0.0
        self.repeats = False

    async def serve(self, reader, writer):
        """Serves one connection."""
        previous = b""
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(self.service_time_s)
                writer.write(previous + self.answer)
                previous = self.answer if self.repeats else b""
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@pytest.fixture
async def backend_and_server():
    """Yields a backend server and the `AdjacentServer` for it, with 2 slots."""
    backend = Backend()
    listener = await asyncio.start_server(backend.serve, "127.0.0.1", 0)
    connections = pool.Pool(clock=time.monotonic, connect_timeout_s=1.0, idle_timeout_s=60.0)
    host, port = listener.sockets[0].getsockname()
    server = adjacent.AdjacentServer(
        address=f"{host}:{port}",
        admission=admission.Admission(slots=1, limiter_name="gradient"),
        connections=connections,
        clock=time.monotonic,
    )
    server.apply_limits(slots=2, queue_limit=8)
    yield backend, server
    connections.close()
    listener.close()


async def run(server, priority="lookup"):
    """Runs one request until its answer has ended."""
    ongoing = await server.run(
        method=b"GET",
        target=b"/",
        head=[(b"host", b"x")],
        payload=payload.Payload(content_length=None, data=b"", stream=None),
        priority=priority,
        deadline_s=time.monotonic() + 5.0,
    )
    await ongoing.end(whole=True)


async def test_refusals_do_not_change_the_expected_service_time(backend_and_server):
    """Guards against fast refusals that lower the expected service time.

    Once the server answers again, it would look slow compared with its refusals.
    """
    backend, server = backend_and_server
    # A refusal that took longer than this, as on a busy machine, would count as service time.
    backend.service_time_s = 0.3
    for _ in range(5):
        await run(server)
    before = server.report()
    backend.answer, backend.service_time_s = _REFUSAL, 0.0
    for _ in range(150):
        with pytest.raises(errors.RefusedError):
            await run(server)
    after = server.report()
    assert after.service_time_us == before.service_time_us
    assert (after.running, after.limit) == (0, 2)


async def test_changed_slots_count_running_requests(backend_and_server):
    """Guards against a published change of slots that loses count of the running requests."""
    backend, server = backend_and_server
    backend.service_time_s = 0.2
    running = [asyncio.create_task(run(server)) for _ in range(2)]
    await asyncio.sleep(0.05)
    server.apply_limits(slots=1, queue_limit=8)
    assert server.report().running == 2
    assert not server.has_free_slot()
    await asyncio.gather(*running)
    assert server.report().running == 0
    assert server.report().limit == 1


async def test_service_times_are_kept_by_priority(backend_and_server):
    """Guards against long uploads that raise the expected service time of lookups.

    Lookups with short deadlines would be refused as too late.
    """
    backend, server = backend_and_server
    for _ in range(5):
        await run(server)
    backend.service_time_s = 0.1
    for _ in range(5):
        await run(server, "upload")
    times = server.admission._service_times
    assert times.expected("lookup") < 0.05
    assert times.expected("upload") > 0.08


async def test_repeated_refusal_is_not_the_answer_to_the_next_request(backend_and_server):
    """Guards against "refused" for a request that runs, so that another server runs it too.

    The server sends its refusal once more before the answer to the next request (issue 30).
    """
    backend, server = backend_and_server
    backend.repeats = True
    backend.answer = _REFUSAL
    with pytest.raises(errors.RefusedError):
        await run(server)
    backend.answer = _ANSWER
    await run(server)
