"""Tests of whole nodes in one process: requests, server discovery, configuration and stop."""

import asyncio
import contextlib

import pytest

from laburnumford_mesh.tests import conftest, waiting


@pytest.fixture
async def pair(fleet):
    """Returns a fleet of two nodes that are ready, and their addresses."""
    addresses = [await fleet.add(index) for index in range(2)]
    for address in addresses:
        await fleet.wait_until_ready(address)
    await waiting.until(
        lambda: all(made.server_count("s") == 2 for made in fleet.nodes), within_s=8.0
    )
    return fleet, addresses


async def test_request_reaches_server_with_expected_header_fields(pair):
    """Guards against a forged caller service or target, or a longer timeout, at the server."""
    fleet, (ip, _) = pair
    more = "X-Timeout: 700\r\nX-Caller: forged\r\nX-Target: forged\r\n"
    status, values, body = await fleet.request(ip, "GET", "/get/1", "id-1", more=more)
    assert (status, body) == (200, b"ok")
    assert values["x-signature"].startswith("server-")
    (seen,) = [head for backend in fleet.backends for head in backend.headers]
    assert seen["x-caller"] == "s"
    assert seen["x-id"] == "id-1"
    assert 0 < int(seen["x-timeout"]) <= 700


@pytest.mark.parametrize("digits", [400, 5000])
async def test_huge_numbers_in_header_fields_do_not_cost_the_answer(pair, digits):
    """Guards against answers that are lost because of a number in a header field (issue 30)."""
    fleet, (ip, _) = pair
    huge = "9" * digits
    for path in ("/get/1", "/post/1"):
        method = "GET" if path == "/get/1" else "POST"
        more = f"X-Timeout: {huge}\r\n"
        assert (await fleet.request(ip, method, path, f"caller-{path}", more=more))[0] == 200
    for backend in fleet.backends:
        backend.slowness = huge
    for index in range(6):
        assert (await fleet.request(ip, "POST", "/post/1", f"server-{index}"))[0] == 200


async def test_unknown_route_gets_404(pair):
    """Guards against an answer other than 404 for a route that does not exist."""
    fleet, (ip, _) = pair
    assert (await fleet.request(ip, "GET", "/none/1", "1"))[0] == 404


async def test_node_without_configuration_answers_503(fleet):
    """Guards against 404 from a node that has not got a configuration yet."""
    fleet.store.down = True
    ip = await fleet.add(0)

    async def answered():
        try:
            return (await fleet.request(ip, "GET", "/get/1", "1"))[:2]
        except OSError:
            return None

    async with asyncio.timeout(5):
        while (found := await answered()) is None:
            await asyncio.sleep(0.02)
    assert found[0] == 503
    assert float(found[1]["retry-after"]) > 0


async def test_requests_go_to_other_server_when_one_is_down(pair):
    """Guards against requests that fail although another server could run them."""
    fleet, addresses = pair
    fleet.backends[0].stop()
    for index in range(6):
        for ip in addresses:
            assert (await fleet.request(ip, "POST", "/post/1", f"{ip}-{index}"))[0] == 200
    assert len(fleet.backends[1].runs) == 12


async def test_only_idempotent_request_is_retried_after_500(pair):
    """Guards against a non-idempotent request that runs twice or an idempotent one that fails."""
    fleet, (ip, _) = pair
    fleet.backends[0].status = 500
    statuses = [(await fleet.request(ip, "GET", "/get/1", f"g{i}"))[0] for i in range(10)]
    assert statuses == [200] * 10
    for index in range(10):
        await fleet.request(ip, "POST", "/post/1", f"p{index}")
    runs = [run for backend in fleet.backends for run in backend.runs if run.startswith("p")]
    assert len(runs) == len(set(runs)) == 10


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_failure_of_a_server_is_not_told_as_not_run(pair, status):
    """Guards against a booking that has run and whose caller is told to book again (review/8)."""
    fleet, addresses = pair
    for backend in fleet.backends:
        backend.status = status
    told = [
        (await fleet.request(ip, "POST", "/post/1", f"{ip}-{index}"))[:2]
        for index in range(4)
        for ip in addresses
    ]
    ran_at = {backend.server_id for backend in fleet.backends if backend.runs}
    assert len(ran_at) == 2
    ran = sum(len(backend.runs) for backend in fleet.backends)
    assert [answered for answered, _ in told].count(502) == ran
    assert all("x-signature" not in values for _, values in told)


async def test_non_idempotent_request_is_not_retried_after_invalid_answer(pair):
    """Guards against two runs of a non-idempotent request whose answer was unusable."""
    fleet, (ip, _) = pair
    for backend in fleet.backends:
        backend.raw_answers["1"] = b"nonsense\r\n\r\n"
    status, _, _ = await fleet.request(ip, "POST", "/post/1", "1")
    assert status == 502
    assert sum(len(backend.runs) for backend in fleet.backends) == 1


async def test_answer_that_is_cut_anywhere_is_no_success(pair):
    """Guards against a success with an empty or short body, on the way over a peer too."""
    fleet, addresses = pair
    whole = b"HTTP/1.1 200 OK\r\nX-Id: {}\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nbody"

    async def post(ip, request_id, size):
        for backend in fleet.backends:
            backend.raw_answers[request_id] = whole.replace(b"{}", request_id.encode())[:size]
            backend.cut_ids.add(request_id)
        return await fleet.request(ip, "POST", "/post/1", request_id)

    for ip in addresses:
        for size in range(0, len(whole), 3):
            assert (await post(ip, f"{size:02}", size))[0] == 502
        status, _, body = await post(ip, "99", len(whole))
        assert (status, body) == (200, b"body")
    ran_at = {backend.server_id for backend in fleet.backends if backend.runs}
    assert len(ran_at) == 2


async def test_published_change_reaches_all_nodes(pair):
    """Guards against nodes that keep using an old configuration or a draining server."""
    fleet, addresses = pair
    fleet.publish("op/config", conftest.make_configuration(2, prefix="/new/"))
    for ip in addresses:
        async with asyncio.timeout(2):
            while (await fleet.request(ip, "GET", "/new/get/1", f"c{ip}"))[0] != 200:
                await asyncio.sleep(0.02)
    leaving = fleet.backends[0]
    fleet.publish("servers/0", conftest.make_entry("server-0", leaving.address, draining=True))
    await waiting.until(
        lambda: all(made.server_count("s") == 1 for made in fleet.nodes), within_s=8.0
    )
    leaving.runs.clear()
    for ip in addresses:
        assert (await fleet.request(ip, "GET", "/new/get/1", f"d{ip}"))[0] == 200
    assert leaving.runs == []


async def test_reading_goes_on_after_an_unexpected_error(pair, monkeypatch):
    """Guards against a node that reads the store no more after one error (review/1, issue 30)."""
    fleet, addresses = pair
    watch = fleet.store.watch
    failures: list[int] = []

    async def fail_sometimes(after, wait_s):
        if len(failures) < 3:
            failures.append(after)
            raise OverflowError("too large")
        return await watch(after, wait_s)

    monkeypatch.setattr(fleet.store, "watch", fail_sometimes)
    await waiting.until(lambda: len(failures) == 3, within_s=8.0)
    fleet.publish("op/config", conftest.make_configuration(2, prefix="/new/"))
    for ip in addresses:
        async with asyncio.timeout(2):
            while (await fleet.request(ip, "GET", "/new/get/1", f"c{ip}"))[0] != 200:
                await asyncio.sleep(0.02)


async def test_call_that_the_node_fails_on_is_answered(pair, monkeypatch):
    """Guards against a caller that waits for its deadline after an error at another node."""
    fleet, (ip, _) = pair

    async def fail(_):
        raise OverflowError("too large")

    monkeypatch.setattr(fleet.nodes[1]._local, "run", fail)
    draining_entry = conftest.make_entry("server-0", fleet.backends[0].address, draining=True)
    fleet.publish("servers/0", draining_entry)
    await waiting.until(
        lambda: all(made.server_count("s") == 1 for made in fleet.nodes), within_s=8.0
    )
    async with asyncio.timeout(0.5):
        assert (await fleet.request(ip, "GET", "/get/1", "1"))[0] == 502


async def test_entries_of_an_unknown_service_do_not_hide_the_servers(pair):
    """Guards against requests that are refused because of foreign entries (review/4).

    The adjacent node must not take the foreign entry for that of its own server either.
    """
    fleet, addresses = pair
    for index, backend in enumerate(fleet.backends):
        foreign = conftest.make_entry(
            f"agent-{index}", backend.address, service="unknown", started_ms=9
        )
        fleet.publish(f"servers/agent-{index}", foreign)
    await asyncio.sleep(1.0)
    for ip in addresses:
        for index in range(4):
            assert (await fleet.request(ip, "POST", "/post/1", f"{ip}-{index}"))[0] == 200


async def test_nodes_serve_while_the_store_is_down(pair):
    """Guards against requests that fail because the store is down."""
    fleet, addresses = pair
    fleet.store.down = True
    await asyncio.sleep(1.5)
    for ip in addresses:
        assert (await fleet.request(ip, "GET", "/get/1", f"x{ip}"))[0] == 200


async def test_started_node_learns_from_peers_while_the_store_is_down(pair):
    """Guards against a node that cannot start while the store is down."""
    fleet, _ = pair
    fleet.publish("servers/2", conftest.make_entry("server-2", f"{fleet.ip(2)}:1"))
    await waiting.until(
        lambda: all(made.server_count("s") == 3 for made in fleet.nodes), within_s=8.0
    )
    fleet.store.down = True
    await fleet.wait_until_ready(await fleet.add(2))


async def test_expired_timeout_gets_504(pair):
    """Guards against requests that stay unanswered after their timeout."""
    fleet, (ip, _) = pair
    for backend in fleet.backends:
        backend.gate.clear()
    status, _, _ = await fleet.request(ip, "POST", "/post/1", "1", more="X-Timeout: 200\r\n")
    assert status == 504


async def test_stopping_node_completes_requests_in_flight(pair):
    """Guards against a planned stop that interrupts a request in flight."""
    fleet, (ip, other) = pair
    for backend in fleet.backends:
        backend.gate.clear()
    request = asyncio.create_task(fleet.request(ip, "POST", "/post/1", "1"))
    await waiting.until(lambda: any(backend.runs for backend in fleet.backends), within_s=8.0)
    fleet.nodes[0].request_stop()
    await asyncio.sleep(0.2)
    assert (await fleet.request(ip, "GET", "/", "r", port=17001))[0] == 503
    for backend in fleet.backends:
        backend.gate.set()
    assert (await request)[0] == 200
    answered: list[int] = []
    ends_s = asyncio.get_running_loop().time() + 3.0
    while asyncio.get_running_loop().time() < ends_s:
        answered.append((await fleet.request(other, "POST", "/post/1", f"s{len(answered)}"))[0])
        await asyncio.sleep(0.02)
    assert set(answered) == {200}


async def test_stopping_node_refuses_requests_late_in_the_grace_period(pair):
    """Guards against requests that are interrupted because they arrive shortly before the end.

    Found by the soak test: callers that keep their connections until the process ends send
    requests until the end of the grace period, and the last ones relayed were interrupted.
    """
    fleet, (ip, _) = pair
    for backend in fleet.backends:
        backend.gate.clear()
    in_flight_request = asyncio.create_task(fleet.request(ip, "POST", "/post/1", "held"))
    await waiting.until(lambda: any(backend.runs for backend in fleet.backends), within_s=8.0)
    fleet.nodes[0].request_stop()
    await asyncio.sleep(0.6 * conftest.GRACE_S)
    status, values, _ = await fleet.request(ip, "POST", "/post/2", "late")
    assert status == 503
    assert float(values["retry-after"]) > 0
    for backend in fleet.backends:
        backend.gate.set()
    assert (await in_flight_request)[0] in {200, 504}
    assert not any("late" in backend.runs for backend in fleet.backends)


async def test_no_request_is_read_after_the_node_was_found_idle(pair):
    """Guards against a request that is passed on and cut, since the stop had found no work.

    The tasks of the node took time to end, and its connections were read until then (review).
    """
    fleet, (ip, _) = pair
    ending = asyncio.Event()

    async def end_slowly():
        try:
            await asyncio.Event().wait()
        finally:
            ending.set()
            await asyncio.sleep(0.3)

    fleet.nodes[0]._tasks.append(asyncio.create_task(end_slowly()))
    reader, writer = await asyncio.open_connection(ip, 17000)
    await asyncio.sleep(0.1)
    fleet.nodes[0].request_stop()
    await ending.wait()
    with contextlib.suppress(ConnectionError):
        writer.write(
            b"POST /post/1 HTTP/1.1\r\nHost: h\r\nX-Id: late\r\nContent-Length: 0\r\n\r\n"
        )
        assert await reader.read() == b""
    writer.close()
    assert not any("late" in backend.runs for backend in fleet.backends)


async def test_server_of_stopping_node_still_gets_requests(pair):
    """Guards against losing the capacity of a server while only its node restarts.

    In a rolling restart of all nodes under load, nodes that refused requests from the start of
    their stop kept one server in four out of use at any time.
    """
    fleet, (_, other) = pair
    # The choice between two idle servers is random, so the other server is set to draining.
    draining_entry = conftest.make_entry("server-1", fleet.backends[1].address, draining=True)
    fleet.publish("servers/1", draining_entry)
    await waiting.until(
        lambda: all(made.server_count("s") == 1 for made in fleet.nodes), within_s=8.0
    )
    fleet.nodes[0].request_stop()
    await asyncio.sleep(0.1)
    for index in range(20):
        assert (await fleet.request(other, "POST", "/post/1", f"s{index}"))[0] == 200
    assert len(fleet.backends[0].runs) == 20


async def test_metrics_page_counts_answers(pair):
    """Guards against a metrics page without counters and latencies of requests."""
    fleet, (ip, _) = pair
    await fleet.request(ip, "GET", "/get/1", "1")
    _, _, text = await fleet.request(ip, "GET", "/metrics", "m", port=17002)
    assert b'laburnumford_answers_total{kind="200"} 1' in text
    assert b"laburnumford_answer_seconds" in text


async def test_operators_are_answered_while_the_memory_for_callers_is_used_up(pair):
    """Guards against callers that make the readiness check and the metrics page fail."""
    fleet, (ip, _) = pair
    budget = fleet.nodes[0]._budget
    free_bytes = budget.max_bytes - budget.reserved_bytes
    budget.take(free_bytes)
    assert (await fleet.request(ip, "GET", "/get/1", "1"))[0] == 503
    assert (await fleet.request(ip, "GET", "/", "r", port=17001))[0] == 200
    assert (await fleet.request(ip, "GET", "/metrics", "m", port=17002))[0] == 200
    budget.release(free_bytes)
    assert (await fleet.request(ip, "GET", "/get/1", "2"))[0] == 200


async def test_nodes_of_two_zones_report_what_leaves_the_zone(fleet):
    """Guards against nodes that lose the zone of a server, its distance or the metrics on the way.

    Load pattern: the only server of a zone is gone and its requests go to the other zone.
    """
    addresses = [await fleet.add(index, zone=zone) for index, zone in enumerate("zy")]
    for address in addresses:
        await fleet.wait_until_ready(address)
    await waiting.until(
        lambda: all(made.server_count("s") == 2 for made in fleet.nodes), within_s=8.0
    )
    fleet.backends[0].stop()
    for index in range(3):
        assert (await fleet.request(addresses[0], "GET", "/get/1", str(index)))[0] == 200
    _, _, text = await fleet.request(addresses[0], "GET", "/metrics", "m", port=17002)
    assert b'laburnumford_requests_out_of_zone_total{kind="s"}' in text
    assert b'laburnumford_zone_overflow_share{kind="s"} 0\n' in text
    overflow = fleet.nodes[0]._services.overflow_by_service()["s"]
    assumed_s = fleet.nodes[1]._services.overflow_by_service()["s"].round_trip_s("other")
    assert 0 < overflow.round_trip_s("y") != assumed_s
