"""Tests of the fake backend server."""

import asyncio
import hashlib
import random
import time

import pytest

from laburnumford_testkit import backend, caller, content, errors

Fault = backend.fault.Fault
Kind = backend.fault.FaultKind


async def exchange(address, request, method="GET", body=b""):
    """Sends raw bytes on a new connection; returns the exchange when the answer has ended."""
    connection = await caller.pool.Pool().acquire(address)
    made = caller.exchange.Exchange(method=method, keep_body=True)
    connection.begin(made, request)
    if body:
        await connection.send(body)
    async with asyncio.timeout(10):
        await made.ended
    connection.close()
    return made


def header_section(path="/", method="GET", **headers):
    """Returns the header section of a request."""
    lines = [f"{method} {path} HTTP/1.1", "host: x"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def test_answer_is_derived_from_the_call_id(start_server):
    """Fails if an answer cannot be distinguished from the answer to another call."""
    _, address = await start_server()
    first = await exchange(address, header_section(x_call_id="a", x_answer_bytes=40000))
    second = await exchange(address, header_section(x_call_id="b", x_answer_bytes=40000))
    assert first.body == content.content("a", 40000)
    assert second.body == content.content("b", 40000)
    assert first.body != second.body
    assert first.headers["x-server"] == "s"


async def test_chunked_answer_with_trailer(start_server):
    """Fails if the trailer is missing or is not the digest of the body."""
    _, address = await start_server()
    made = await exchange(
        address, header_section(x_call_id="a", x_answer_bytes=20000, x_answer_trailers=1)
    )
    assert made.headers["transfer-encoding"] == "chunked"
    assert made.body == content.content("a", 20000)
    expected = hashlib.blake2b(made.body, digest_size=16).hexdigest()
    assert made.trailers["x-answer-digest"] == expected


async def test_empty_chunked_answer_is_framed(start_server):
    """Fails if an empty body in chunked coding has no valid end."""
    _, address = await start_server()
    made = await exchange(
        address, header_section(x_call_id="a", x_answer_bytes=0, x_answer_framing="chunked")
    )
    assert made.complete
    assert made.body == b""


@pytest.mark.parametrize("status", [204, 304])
async def test_answers_without_body(start_server, status):
    """Fails if 204 or 304 carries a body or a length."""
    _, address = await start_server()
    made = await exchange(address, header_section(x_call_id="a", x_answer_status=status))
    assert made.status == status
    assert made.body == b""
    assert "content-length" not in made.headers


async def test_head_has_the_length_and_no_body(start_server):
    """Fails if the connection cannot be used for further requests after HEAD."""
    _, address = await start_server()
    pool = caller.pool.Pool()
    connection = await pool.acquire(address)
    for _ in range(2):
        made = caller.exchange.Exchange(method="HEAD", keep_body=True)
        connection.begin(made, header_section(method="HEAD", x_call_id="a", x_answer_bytes=70))
        await made.ended
        assert made.headers["content-length"] == "70"
        assert made.body == b""
        await asyncio.sleep(0.05)
        assert connection.reusable
    connection.close()


async def test_body_is_digested_and_continue_is_sent(start_server):
    """Fails if an upload is not received completely, or no 100 Continue is sent."""
    server, address = await start_server()
    body = content.content("upload", 3_000_000)
    connection = await caller.pool.Pool().acquire(address)
    made = caller.exchange.Exchange(method="POST")
    connection.begin(
        made,
        header_section(
            method="POST", expect="100-continue", content_length=len(body), x_call_id="u"
        ),
    )
    async with asyncio.timeout(5):
        while not made.received_continue:
            await asyncio.sleep(0.01)
        await connection.send(body)
        await made.ended
    assert made.headers["x-body-digest"] == content.digest(body)
    assert made.headers["x-body-bytes"] == "3000000"
    assert server.log.runs[0].body_bytes == 3_000_000
    connection.close()


async def test_requests_above_slots_and_queue_are_shed_and_do_not_run(start_server):
    """Fails if the server runs more than its slots, or a shed request has no outcome `refused`."""
    server, address = await start_server(slots=2, queue=1)
    made = await asyncio.gather(
        *(
            exchange(address, header_section(x_call_id=str(index), x_work_ms=100))
            for index in range(6)
        )
    )
    refused = [one for one in made if one.status == 503]
    assert len(refused) == 3
    assert all(one.headers["laburnumford-outcome"] == "refused" for one in refused)
    assert server.slots.peak_running == 2
    assert len(server.log.runs) == 3


async def test_slot_is_released_when_a_caller_disconnects(start_server):
    """Fails if a cancelled request keeps a slot or its place in the queue."""
    server, address = await start_server(slots=1, queue=5)
    connections = [await caller.pool.Pool().acquire(address) for _ in range(3)]
    for connection in connections:
        made = caller.exchange.Exchange(method="GET")
        connection.begin(made, header_section(x_call_id="a", x_work_ms=10_000))
    await asyncio.sleep(0.05)
    for connection in connections:
        connection.close()
    await asyncio.sleep(0.05)
    assert server.idle
    assert [run.cancelled for run in server.log.runs] == [True]
    assert (await exchange(address, header_section(x_call_id="b"))).status == 200


async def test_slot_released_while_a_waiting_request_is_cancelled():
    """Fails if a cancelled wait and a release in one event loop iteration raise or lose a slot."""
    slots = backend.slots.Slots(slots=1, max_queued=5)
    assert await slots.acquire()
    waiting = [asyncio.create_task(slots.acquire()) for _ in range(2)]
    await asyncio.sleep(0)
    waiting[0].cancel()
    slots.release()
    results = await asyncio.gather(*waiting, return_exceptions=True)
    assert isinstance(results[0], asyncio.CancelledError)
    assert results[1] is True
    assert (slots.running, slots.queued) == (1, 0)


async def test_slot_granted_to_a_cancelled_request_goes_to_the_next():
    """Fails if a slot is lost when a request is cancelled just after it was granted one."""
    slots = backend.slots.Slots(slots=1, max_queued=5)
    assert await slots.acquire()
    waiting = [asyncio.create_task(slots.acquire()) for _ in range(2)]
    await asyncio.sleep(0)
    slots.release()
    waiting[0].cancel()
    results = await asyncio.gather(*waiting, return_exceptions=True)
    assert isinstance(results[0], asyncio.CancelledError)
    assert results[1] is True
    assert (slots.running, slots.queued) == (1, 0)


async def test_large_body_is_not_kept_in_memory(start_process, pool):
    """Fails if the fake backend server keeps an upload of 100 MB in memory."""
    process = await start_process("backend")
    address = f"127.0.0.1:{process.port}"
    made = caller.caller.Caller(pool=pool)
    before = process.resident_bytes()
    call = caller.call.Call(method="POST", body_bytes=100_000_000, timeout_ms=60_000)
    calling = asyncio.create_task(made.call(call, address))
    peak = before
    while not calling.done():
        peak = max(peak, process.resident_bytes())
        await asyncio.sleep(0.02)
    assert (await calling).is_own_answer is True
    assert peak - before < 20_000_000


async def test_service_times_are_seeded_and_cold_start_slows(start_server):
    """Fails if two servers with one seed differ, or a cold server is as fast as a warm one."""
    servers = [
        (await start_server(base_service_time_s=0.01, distribution="lognormal"))[0]
        for _ in range(2)
    ]
    request = backend.request.Request()
    now = time.monotonic()
    draws = [[server.draw_service_time_s(request, now) for _ in range(20)] for server in servers]
    assert draws[0] == draws[1]
    cold, _ = await start_server(base_service_time_s=0.01, cold_start_s=10.0, cold_factor=5.0)
    assert cold.draw_service_time_s(request, now) > 0.045
    assert cold.draw_service_time_s(request, now + 11) == 0.01


@pytest.mark.parametrize("name", backend.service_time.service_times.names())
def test_service_times_are_positive_and_near_the_configured_time(name):
    """Fails if the mean of a distribution is far from the configured service time."""
    drawn = backend.service_time.service_times.create(name, generator=random.Random(5))
    times = [drawn.draw(0.01) for _ in range(5000)]
    assert min(times) > 0
    assert 0.005 < sum(times) / len(times) < 0.03


async def test_fault_refuse(start_server):
    """Fails if a refused request runs."""
    server, address = await start_server()
    server.set_fault(Fault(kind=Kind.REFUSE))
    made = await exchange(address, header_section(x_call_id="a"))
    assert (made.status, made.headers["laburnumford-outcome"]) == (503, "refused")
    assert server.log.runs == ()


@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("kind", [Kind.TRUNCATE, Kind.CLOSE, Kind.RESET])
async def test_faults_that_truncate_the_answer(start_server, kind, framing):
    """Fails if a truncated answer looks complete, to the caller or in the run log."""
    server, address = await start_server()
    server.set_fault(Fault(kind=kind, bytes=300))
    with pytest.raises(errors.ConnectionBrokenError):
        await exchange(
            address, header_section(x_call_id="a", x_answer_bytes=5000, x_answer_framing=framing)
        )
    assert [run.answer_whole for run in server.log.runs] == [False]


async def test_fault_slow_late_and_stall(start_server):
    """Fails if a delay is missing, or a stalled request is answered before the fault ends."""
    server, address = await start_server()
    for fault in (Fault(kind=Kind.SLOW, factor=10), Fault(kind=Kind.LATE, delay_s=0.2)):
        server.set_fault(fault)
        begin = time.monotonic()
        await exchange(address, header_section(x_call_id="a", x_work_ms=20))
        assert 0.2 <= time.monotonic() - begin < 2
    server.set_fault(Fault(kind=Kind.STALL))
    stalled = asyncio.create_task(exchange(address, header_section(x_call_id="a")))
    await asyncio.sleep(0.2)
    assert not stalled.done()
    server.set_fault(Fault())
    assert (await stalled).status == 200


async def test_fault_affects_its_share(start_server):
    """Fails if a partial fault affects all requests or none."""
    server, address = await start_server()
    server.set_fault(Fault(kind=Kind.ERROR, share=0.5))
    statuses = [(await exchange(address, header_section(x_call_id="a"))).status for _ in range(40)]
    assert 5 < statuses.count(500) < 35


async def test_fault_extra_bytes_make_the_connection_not_reusable(start_server, pool):
    """Fails if bytes that belong to no answer may be read as the next answer."""
    server, address = await start_server()
    server.set_fault(Fault(kind=Kind.EXTRA, bytes=50))
    connection = await pool.acquire(address)
    made = caller.exchange.Exchange(method="GET")
    connection.begin(made, header_section(x_call_id="a"))
    await made.ended
    await asyncio.sleep(0.05)
    assert not connection.reusable


async def test_unknown_fault_is_rejected(start_server):
    """Fails if a misspelt fault leaves a test without its fault."""
    _, address = await start_server()
    client = backend.client.BackendClient(url=f"http://{address}")
    await client.set_fault(Fault(kind=Kind.SLOW))
    with pytest.raises(errors.TestkitError, match="unknown kind"):
        await client._request("PUT", "fault", {"kind": "slwo"})
    with pytest.raises(errors.TestkitError, match="unknown field"):
        await client._request("PUT", "fault", {"kind": "slow", "fcator": 1})


async def test_measuring_requests_are_counted_and_load_lags(start_server):
    """Fails if probes are not counted, or the load endpoint answers without its lag."""
    server, address = await start_server(load_lag_s=0.3)
    client = backend.client.BackendClient(url=f"http://{address}")
    assert (await exchange(address, header_section("/load"))).status == 200
    running = asyncio.create_task(exchange(address, header_section(x_call_id="a", x_work_ms=400)))
    await asyncio.sleep(0.1)
    assert b'"running": 0' in (await exchange(address, header_section("/load"))).body
    await running
    assert (await exchange(address, header_section("/health"))).status == 200
    assert len(await client.measuring_requests()) == 3
    assert server.counters()["measuring_bytes"] > 0
    assert len(await client.runs()) == 1


async def test_connections_above_the_limit_are_closed(start_server):
    """Fails if the connection limit of a backend server is not enforced."""
    server, address = await start_server(connections=1)
    kept = await caller.pool.Pool().acquire(address)
    await asyncio.sleep(0.02)
    with pytest.raises(errors.ConnectionBrokenError):
        await exchange(address, header_section(x_call_id="a"))
    assert server.refused_connections == 1
    kept.close()


async def test_invalid_request_is_answered_400(start_server):
    """Fails if a malformed request gets no answer."""
    _, address = await start_server()
    assert (await exchange(address, b"garbage\r\n\r\n")).status == 400


async def test_sigterm_finishes_running_requests_and_announces_draining(start_process, tmp_path):
    """Fails if a planned stop interrupts a request or ends with an error."""
    path = tmp_path / "runs"
    process = await start_process("backend", "--run-log", str(path), "--linger-s", "0.3")
    address = f"127.0.0.1:{process.port}"
    running = asyncio.create_task(exchange(address, header_section(x_call_id="a", x_work_ms=800)))
    await asyncio.sleep(0.2)
    stopping = asyncio.create_task(process.stop())
    await asyncio.sleep(0.1)
    late = await exchange(address, header_section(x_call_id="b"))
    assert late.headers["laburnumford-draining"] == "1"
    assert (await running).status == 200
    assert await stopping == 0
    runs = backend.run_log.load(path)
    assert [(run.call_id, run.answer_whole) for run in runs] == [("a", True), ("b", True)]


async def test_run_log_survives_a_kill(start_process, tmp_path):
    """Fails if the run log of a killed server misses runs, which the judge needs."""
    path = tmp_path / "runs"
    process = await start_process("backend", "--run-log", str(path))
    address = f"127.0.0.1:{process.port}"
    await exchange(address, header_section(x_call_id="a"))
    running = asyncio.create_task(exchange(address, header_section(x_call_id="b", x_work_ms=9000)))
    await asyncio.sleep(0.2)
    process.kill()
    with pytest.raises(errors.ConnectionBrokenError):
        await running
    runs = backend.run_log.load(path)
    assert [(run.call_id, run.ended is not None) for run in runs] == [("a", True), ("b", False)]
    await process.start()
    await exchange(f"127.0.0.1:{process.port}", header_section(x_call_id="c"))
    assert [run.call_id for run in backend.run_log.load(path)] == ["a", "b", "c"]


async def test_nested_call_forwards_deadline_and_attempts(start_server):
    """Fails if a chain of calls loses its deadline, depth or spent attempts, or ends too early."""
    seen = []

    async def edge(reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        seen.append(head)
        writer.write(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")
        await writer.drain()
        writer.close()

    listener = await asyncio.start_server(edge, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    _, address = await start_server(edge_address=f"{host}:{port}")
    forwarded = {
        "laburnumford_attempts": 1,
        "laburnumford_depth": 3,
        "laburnumford_timeout_ms": 900,
    }
    first = await exchange(address, header_section(x_nested_path="2 /chain /end", **forwarded))
    last = await exchange(address, header_section(x_nested_path="1 /chain /end", **forwarded))
    listener.close()
    assert (first.status, last.status) == (503, 503)
    assert seen[0].startswith("GET /chain ")
    assert "x-nested-path: 1 /chain /end" in seen[0]
    assert seen[1].startswith("GET /end ")
    assert "x-nested-path" not in seen[1]
    for head in seen:
        assert "laburnumford-attempts: 1\r\n" in head
        assert "laburnumford-depth: 3\r\n" in head
        assert "laburnumford-timeout-ms: 900\r\n" in head


async def test_malformed_nested_path_is_rejected(start_server):
    """Fails if a malformed path in a test is ignored, so that no nested call is made."""
    _, address = await start_server(edge_address="127.0.0.1:1")
    for text in ("x /chain", "0 /chain", "3", "99 /chain"):
        assert (await exchange(address, header_section(x_nested_path=text))).status == 400
    _, without = await start_server()
    assert (await exchange(without, header_section(x_nested_path="1 /chain"))).status == 501
