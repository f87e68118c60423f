"""Fake of the platform's HTTP interface for tests and benchmarks."""

import asyncio
import time
from collections.abc import Mapping, Sequence

from aiohttp import web


class FakePlatform:
    """Serves values and the list of VMs from memory, on a loopback port.

    `mode` is ``"ok"``, ``"down"`` (status 503) or ``"stale"`` (values as they were
    when the mode was set).
    """

    def __init__(self) -> None:
        self.reads = 0
        self.vms: Sequence[Mapping[str, str]] = ()
        self.port = 0
        self._values: dict[str, tuple[int, bytes]] = {}
        self._stale_values: dict[str, tuple[int, bytes]] = {}
        self._mode = "ok"
        self._revision = 0
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listens on a free port."""
        application = web.Application()
        application.router.add_get("/config/{key:.+}", self._get_value)
        application.router.add_get("/vms", self._get_vms)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def close(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def set_mode(self, mode: str) -> None:
        """Changes the mode and wakes waiting watches."""
        async with self._changed:
            self._mode = mode
            self._stale_values = dict(self._values)
            self._changed.notify_all()

    async def publish(self, values: Mapping[str, bytes]) -> None:
        """Stores values by key and wakes waiting watches; the head is written last."""
        async with self._changed:
            for key in sorted(values, key=lambda key: key.endswith("/head")):
                self._revision += 1
                self._values[key] = (self._revision, values[key])
            self._changed.notify_all()

    async def delete(self, key: str) -> None:
        """Removes a key."""
        async with self._changed:
            self._values.pop(key, None)

    def _find(self, key: str) -> tuple[int, bytes] | None:
        if self._mode == "down":
            raise web.HTTPServiceUnavailable
        values = self._stale_values if self._mode == "stale" else self._values
        return values.get(key)

    async def _get_value(self, request: web.Request) -> web.Response:
        self.reads += 1
        key = request.match_info["key"]
        found = self._find(key)
        if "after" in request.query:
            after = int(request.query["after"])
            until = time.monotonic() + min(60.0, float(request.query["wait_s"]))
            while found is None or found[0] <= after:
                remaining_s = until - time.monotonic()
                if remaining_s <= 0:
                    return web.Response(status=304)
                try:
                    async with asyncio.timeout(remaining_s), self._changed:
                        await self._changed.wait()
                except TimeoutError:
                    return web.Response(status=304)
                found = self._find(key)
        if found is None:
            raise web.HTTPNotFound
        return web.Response(body=found[1], headers={"etag": f'"{found[0]}"'})

    async def _get_vms(self, _: web.Request) -> web.Response:
        self.reads += 1
        if self._mode == "down":
            raise web.HTTPServiceUnavailable
        return web.json_response({"vms": list(self.vms)})
