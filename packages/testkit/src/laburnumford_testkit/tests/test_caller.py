"""Tests of the caller and the load generator."""

import asyncio
import time

import pytest

from laburnumford_testkit import backend, caller, content

Call = caller.call.Call
Fault = backend.fault.Fault
Kind = backend.fault.FaultKind


async def serve_answers(answers):
    """Starts a server that gives prepared answers in turn.

    Returns:
        The server, its address and the list to which it adds the header section of each request.
    """
    requests = []
    left = list(answers)

    async def serve(reader, writer):
        while left:
            try:
                section = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            requests.append(section.decode())
            writer.write(left.pop(0)(section.decode()))
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}", requests


def header(section, name):
    """Returns the value of a header field of a request, or an empty string."""
    for line in section.split("\r\n"):
        if line.startswith(f"{name}: "):
            return line.partition(": ")[2]
    return ""


def fixed_answer(status, body=b"", **headers):
    """Returns a function that returns the same answer to every request."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return lambda _section: ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def own_answer(section):
    """Returns the answer of a fake backend server to a request."""
    call_id = header(section, "x-call-id")
    body = content.content(call_id, int(header(section, "x-answer-bytes")))
    return fixed_answer(200, body, x_call_id=call_id)(section)


@pytest.mark.parametrize("chunked", [False, True])
async def test_call_verifies_a_long_answer(start_server, pool, chunked):
    """Fails if a complete answer of many blocks is not recognised as its own."""
    _, address = await start_server()
    made = caller.caller.Caller(pool=pool)
    record = await made.call(Call(answer_bytes=100_001, chunked_answer=chunked), address)
    assert (record.status, record.complete, record.is_own_answer, record.error) == (
        200,
        True,
        True,
        "",
    )
    assert record.answer_bytes == 100_001


async def test_upload_is_verified_by_its_digest(start_server, pool):
    """Fails if an upload with altered bytes goes unnoticed."""
    server, address = await start_server()
    made = caller.caller.Caller(pool=pool)
    call = Call(method="POST", body_bytes=2_000_001)
    assert (await made.call(call, address)).is_own_answer is True
    assert server.log.runs[0].body_bytes == 2_000_001


async def test_answer_of_another_call_is_not_own(pool):
    """Fails if a caller takes the answer to another call for its own."""
    other = fixed_answer(200, content.content("other", 200), x_call_id="other")
    mixed = fixed_answer(200, content.content("other", 200), x_call_id="c2.0")
    short = fixed_answer(200, content.content("c3.0", 100), x_call_id="c3.0")
    server, address, _ = await serve_answers([other, mixed, short])
    made = caller.caller.Caller(pool=pool)
    assert [(await made.call(Call(), address)).is_own_answer for _ in range(3)] == [
        False,
        False,
        False,
    ]
    server.close()


async def test_call_is_sent_again_with_the_ticket_of_a_428(pool):
    """Fails if a call without a ticket ends with 428, or is sent again without the ticket."""
    server, address, requests = await serve_answers(
        [
            fixed_answer(428, idempotency_key="lf1.t", laburnumford_outcome="refused"),
            own_answer,
        ]
    )
    made = caller.caller.Caller(pool=pool)
    record = await made.call(Call(method="POST"), address)
    assert (record.status, record.ticket, record.is_own_answer) == (200, "lf1.t", True)
    assert [header(section, "idempotency-key") for section in requests] == ["", "lf1.t"]
    assert [one.call_id for one in made.records] == ["c1.0", "c1.1"]
    server.close()


async def test_unknown_outcome_is_retried_only_with_the_same_ticket(pool):
    """Fails if a call with an unknown outcome is retried with a new ticket or without one."""
    unknown = fixed_answer(502, laburnumford_outcome="unknown")
    server, address, requests = await serve_answers(
        [fixed_answer(428, idempotency_key="t1"), unknown, own_answer, unknown]
    )
    made = caller.caller.Caller(pool=pool, retry_delay_s=0.01)
    record = await made.call(Call(method="POST"), address)
    assert record.status == 200
    assert [header(section, "idempotency-key") for section in requests] == ["", "t1", "t1"]
    without = await made.call(Call(), address)
    assert without.outcome == "unknown"
    assert len(requests) == 4
    server.close()


async def test_stored_answer_to_an_earlier_request_of_the_call_is_own(pool):
    """Fails if the stored answer of a ticket counts as the answer to another call."""

    def stored(_section):
        return fixed_answer(200, content.content("c1.1", 200), x_call_id="c1.1")(_section)

    server, address, _ = await serve_answers(
        [
            fixed_answer(428, idempotency_key="t1"),
            fixed_answer(502, laburnumford_outcome="unknown"),
            stored,
        ]
    )
    made = caller.caller.Caller(pool=pool, retry_delay_s=0.01)
    assert (await made.call(Call(method="POST"), address)).is_own_answer is True
    server.close()


async def test_truncated_answer_and_timeout_are_recorded(start_server, pool):
    """Fails if a call without a complete answer is recorded as answered."""
    server, address = await start_server()
    made = caller.caller.Caller(pool=pool)
    server.set_fault(Fault(kind=Kind.TRUNCATE))
    truncated = await made.call(Call(), address)
    assert (truncated.complete, truncated.answered) == (False, None)
    assert "truncated" in truncated.error
    server.set_fault(Fault(kind=Kind.STALL))
    begin = time.monotonic()
    late = await made.call(Call(timeout_ms=100), address)
    assert late.error == "timeout"
    assert time.monotonic() - begin < 3


async def test_refused_connection_is_recorded(pool):
    """Fails if an address without a listener raises an error that ends the load."""
    made = caller.caller.Caller(pool=pool)
    record = await made.call(Call(), "127.0.0.1:1")
    assert record.status is None
    assert "not connected" in record.error


async def test_connections_are_reused(start_server, pool):
    """Fails if each call opens a connection of its own."""
    _, address = await start_server()
    made = caller.caller.Caller(pool=pool)
    for method in ("GET", "HEAD", "POST", "GET"):
        assert (await made.call(Call(method=method), address)).is_own_answer is True
    assert pool.connections_opened == 1


async def test_load_is_open_loop_seeded_and_bounded(start_server, pool):
    """Fails if slow answers delay the arrivals, one seed gives two loads, or a bound fails."""
    _, address = await start_server(slots=500, base_service_time_s=0.3, connections=1000)
    kinds = [Call(kind="a", share=1), Call(kind="b", share=3)]

    async def run(**parameters):
        made = caller.caller.Caller(pool=pool)
        load = caller.load.Load(
            calls=kinds, addresses=[address], rate_per_s=300, duration_s=1.0, seed=7, **parameters
        )
        skipped = await caller.load.run(load, made)
        return made.records, skipped

    first, skipped = await run()
    second, _ = await run()
    assert skipped == 0
    assert 200 < len(first) < 400
    by_id = [sorted((one.call_id, one.kind) for one in records) for records in (first, second)]
    assert by_id[0] == by_id[1]
    kinds_seen = [one.kind for one in first]
    assert 1.5 < kinds_seen.count("b") / kinds_seen.count("a") < 6
    assert len((await run(max_calls=20))[0]) == 20
    bounded, skipped = await run(max_in_flight=10)
    assert len(bounded) + skipped == len(first)
    assert skipped > 100


def test_summary_counts_each_call_once():
    """Fails if a refused first request or a retry counts as a call of its own."""
    make = caller.record.Record
    records = [
        make(call="a", call_id="a.0", kind="k", outcome="refused", status=428, answered=1.0),
        make(call="a", call_id="a.1", kind="k", status=200, due=0.5, answered=1.5),
        make(call="b", call_id="b.0", kind="k", outcome="unknown", status=502, answered=2.0),
        make(call="c", call_id="c.0", kind="k", outcome="refused", status=503, answered=2.0),
        make(call="d", call_id="d.0", kind="k", error="timeout"),
    ]
    summary = caller.summary.summarise(records)
    assert (summary.calls, summary.answered, summary.refused, summary.unknown) == (4, 1, 1, 2)
    assert 999 <= summary.p50_ms <= 1001
