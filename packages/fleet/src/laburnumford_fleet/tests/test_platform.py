"""Tests of the client of the platform."""

import json
import random
import time

import pytest
from aiohttp import web

from laburnumford_fleet import errors, platform, read_limit


@pytest.fixture
async def serve():
    """Returns a function that starts a server with one handler and returns a client of it."""
    opened = []

    async def start(handler):
        application = web.Application()
        application.router.add_get("/{path:.*}", handler)
        runner = web.AppRunner(application, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        limit = read_limit.ReadLimit(generator=random.Random(1), now=time.monotonic())
        client = platform.Platform(url=f"http://127.0.0.1:{runner.addresses[0][1]}", limit=limit)
        opened.extend([client.close, runner.cleanup])
        return client

    yield start
    for close in opened:
        await close()


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        ({"status": 404}, errors.KeyMissingError),
        ({"status": 429}, errors.PlatformBusyError),
        ({"status": 500}, errors.PlatformUnavailableError),
        ({"status": 302, "headers": {"location": "/elsewhere"}}, errors.PlatformUnavailableError),
        ({"body": b"x", "headers": {"etag": '"x"'}}, errors.PlatformError),
        ({"body": bytes(1_048_577), "headers": {"etag": '"1"'}}, errors.PlatformError),
    ],
)
async def test_unusable_answers_raise_platform_errors(serve, answer, error):
    """Guards against errors of the HTTP library and values above 1 MB that reach the reader task."""

    async def handle(_):
        return web.Response(**answer)

    client = await serve(handle)
    with pytest.raises(error):
        await client.read("laburnumford/w/head", max_wait_s=0.0)


async def test_truncated_answer_is_an_error(serve):
    """Guards against a truncated value that is taken for the complete value."""

    async def handle(request):
        response = web.StreamResponse(headers={"etag": '"1"', "content-length": "100"})
        await response.prepare(request)
        await response.write(b"x" * 50)
        request.transport.close()
        return response

    client = await serve(handle)
    with pytest.raises(errors.PlatformUnavailableError):
        await client.read("laburnumford/w/head", max_wait_s=0.0)


async def test_watch_returns_value_or_none(serve):
    """Guards against a watch that takes the end of the wait for a change."""

    async def handle(request):
        if request.query["after"] == "4":
            return web.Response(status=304)
        return web.Response(body=b"new", headers={"etag": 'W/"4"'})

    client = await serve(handle)
    found = await client.watch("k", after=3, wait_s=0.1, max_wait_s=0.0)
    assert found is not None
    assert (found.revision, found.data) == (4, b"new")
    assert await client.watch("k", after=4, wait_s=0.1, max_wait_s=0.0) is None


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"vms": 1}', b'{"vms": [{"name": "a"}]}', b"[" * 100_000]
)
async def test_malformed_list_is_an_error(serve, body):
    """Guards against a malformed list that ends the task that reads it."""

    async def handle(_):
        return web.Response(body=body)

    client = await serve(handle)
    with pytest.raises(errors.PlatformError):
        await client.vms(max_wait_s=0.0)


async def test_list_of_vms_and_read_limit(serve):
    """Guards against states of VMs that are lost, and against reads above the read limit."""
    row = {"name": "a", "zone": "z"}

    async def handle(_):
        return web.Response(
            text=json.dumps({"vms": [row | {"state": "live"}, row | {"state": "leaving"}]})
        )

    client = await serve(handle)
    found = await client.vms(max_wait_s=0.0)
    assert [entry.leaving for entry in found.vms] == [False, True]
    for _ in range(3):
        await client.vms(max_wait_s=0.0)
    with pytest.raises(errors.ReadLimitError):
        await client.vms(max_wait_s=0.0)
