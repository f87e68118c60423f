"""Tests of the fake platform, most of them over HTTP against a real process."""

import asyncio
import time

import aiohttp
import pytest
import pytest_asyncio

from laburnumford_testkit import errors, platform

Mode = platform.mode.Mode


@pytest_asyncio.fixture
async def fake_platform(start_process):
    """Starts a process of the fake platform and returns its base URL and a client."""
    process = await start_process("platform")
    url = f"http://127.0.0.1:{process.port}"
    return url, platform.client.PlatformClient(url=url)


async def test_read_returns_the_published_value_and_its_revision(fake_platform):
    """Fails if a published value cannot be read, or the head is written before its delta."""
    _, client = fake_platform
    await client.publish({"laburnumford/w/head": b"1", "laburnumford/w/delta/1": b"d"})
    head = await client.read("laburnumford/w/head")
    delta = await client.read("laburnumford/w/delta/1")
    assert head is not None
    assert delta is not None
    assert (head[0], delta[0]) == (b"1", b"d")
    assert head[1] > delta[1], "head must be written last"
    assert await client.read("laburnumford/w/none") is None


async def test_watch_waits_for_a_higher_revision_and_counts_as_one_read(fake_platform):
    """Fails if a watch polls, misses a change, or counts more than once."""
    url, client = fake_platform
    await client.publish({"head": b"1"})
    async with aiohttp.ClientSession() as session:

        async def watch(wait_s):
            async with session.get(f"{url}/config/head?after=1&wait_s={wait_s}") as response:
                return response.status, await response.read(), response.headers.get("etag")

        begin = time.monotonic()
        assert (await watch(0.2))[0] == 304
        assert 0.15 < time.monotonic() - begin < 2
        waiting = asyncio.create_task(watch(10))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        await client.publish({"head": b"2"})
        async with asyncio.timeout(2):
            assert await waiting == (200, b"2", "2")
    assert (await client.counters())["admitted"] == 2


async def test_values_above_1_mb_are_rejected(fake_platform):
    """Fails if the fake platform accepts a value that the platform rejects."""
    _, client = fake_platform
    await client.publish({"a": bytes(1_000_000)})
    with pytest.raises(errors.TestkitError, match="413"):
        await client.publish({"a": bytes(1_000_001)})


async def test_reads_above_the_limit_get_429(fake_platform):
    """Fails if nodes that read too often get no 429."""
    url, client = fake_platform
    await client.publish({"head": b"1"})
    await client.set_read_limit(5)
    statuses = []
    async with aiohttp.ClientSession() as session:
        for _ in range(12):
            async with session.get(f"{url}/config/head") as response:
                statuses.append(response.status)
    assert statuses == [200] * 5 + [429] * 7
    counters = await client.counters()
    assert counters["refused"] == 7
    assert counters["peak_per_s"] == 12


async def test_mode_down_until_mode_ok(fake_platform):
    """Fails if reads succeed while the platform is down, or still fail afterwards."""
    _, client = fake_platform
    await client.publish({"head": b"1"})
    await client.set_mode(Mode.DOWN)
    with pytest.raises(errors.TestkitError, match="503"):
        await client.read("head")
    await client.set_mode(Mode.OK)
    assert (await client.read("head"))[0] == b"1"


async def test_mode_stale_hides_later_writes(fake_platform):
    """Fails if a stale platform shows a new version."""
    url, client = fake_platform
    await client.publish({"head": b"1"})
    await client.set_vms([{"name": "a", "zone": "z", "state": "live"}])
    await client.set_mode(Mode.STALE)
    await client.publish({"head": b"2"})
    await client.set_vms([{"name": "a", "zone": "z", "state": "leaving"}])
    assert (await client.read("head"))[0] == b"1"
    async with aiohttp.ClientSession() as session, session.get(f"{url}/vms") as response:
        assert (await response.json())["vms"][0]["state"] == "live"


async def test_mode_backwards_shows_an_older_value_under_a_new_revision(fake_platform):
    """Fails if a platform restored from a backup does not end watches with the old value."""
    _, client = fake_platform
    await client.publish({"delta/1": b"d1", "head": b"1"})
    await client.publish({"delta/2": b"d2", "head": b"2"})
    before = await client.read("head")
    await client.set_mode(Mode.BACKWARDS)
    after = await client.read("head")
    assert after[0] == b"1"
    assert after[1] > before[1]


async def test_mode_half_shows_the_new_head_without_its_delta(fake_platform):
    """Fails if a partial change, a new head without its delta, cannot be produced."""
    _, client = fake_platform
    await client.publish({"delta/1": b"d1", "head": b"1"})
    await client.set_mode(Mode.HALF)
    await client.publish({"delta/2": b"d2", "head": b"2"})
    assert (await client.read("head"))[0] == b"2"
    assert await client.read("delta/2") is None
    await client.set_mode(Mode.OK)
    assert (await client.read("delta/2"))[0] == b"d2"


async def test_mode_hang_holds_reads_until_the_mode_changes(fake_platform):
    """Fails if a read is answered while the platform hangs."""
    _, client = fake_platform
    await client.publish({"head": b"1"})
    await client.set_mode(Mode.HANG)
    reading = asyncio.create_task(client.read("head"))
    await asyncio.sleep(0.2)
    assert not reading.done()
    await client.set_mode(Mode.OK)
    assert (await reading)[0] == b"1"


async def test_unknown_mode_is_rejected(fake_platform):
    """Fails if a misspelt mode leaves a test without its fault."""
    url, _ = fake_platform
    async with (
        aiohttp.ClientSession() as session,
        session.put(f"{url}/admin/mode", json={"mode": "dwon"}) as response,
    ):
        assert response.status == 400
        assert "dwon" in await response.text()


async def test_write_between_check_and_wait_ends_a_watch():
    """Fails if a watch misses a write that comes after its check and before its wait.

    This is the likely cause of a demo run in which 15 nodes kept version 1 for 7 s.
    """
    made = platform.app.PlatformApp()
    made.store.put("head", b"1")

    request = {
        "type": "http",
        "http_version": "1.1",
        "method": "GET",
        "path": "/config/head",
        "raw_path": b"/config/head",
        "query_string": b"after=1&wait_s=30",
        "headers": [],
    }
    sent = []

    async def receive():
        made.store.put("head", b"2")
        return {"type": "http.request", "body": b"", "more_body": True}

    async def send(message):
        sent.append(message)

    async with asyncio.timeout(2):
        await made.asgi(request, receive, send)
    assert sent[0]["status"] == 200
    assert sent[1]["body"] == b"2"
