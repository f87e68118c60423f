"""Client of a fake platform in another process."""

import json
from typing import Any

import aiohttp

from laburnumford_testkit import errors
from laburnumford_testkit.platform import mode as mode_module

REQUEST_TIMEOUT_S = 10.0


class PlatformClient:
    """Publishes to a fake platform and sends it admin requests.

    Args:
        url: base URL of the fake platform.
    """

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip("/")

    async def publish(self, values_by_key: dict[str, bytes]) -> None:
        """Writes all values in the given order, but keys that end in `head` last."""
        ordered = sorted(values_by_key.items(), key=lambda item: item[0].endswith("head"))
        async with self._session() as session:
            for key, value in ordered:
                async with session.put(f"{self._url}/admin/config/{key}", data=value) as response:
                    await _check(response)

    async def read(self, key: str) -> tuple[bytes, int] | None:
        """Returns the value and revision of a key, or None; this counts as a read."""
        async with (
            self._session() as session,
            session.get(f"{self._url}/config/{key}") as response,
        ):
            if response.status == 404:
                return None
            await _check(response)
            return await response.read(), int(response.headers["etag"])

    async def set_vms(self, vms: list[dict[str, str]]) -> None:
        """Replaces the VM list."""
        await self._put("vms", {"vms": vms})

    async def set_mode(self, mode: mode_module.Mode, revision: int | None = None) -> None:
        """Changes the mode, see `store.Store.set_mode`."""
        await self._put("mode", {"mode": mode.value, "revision": revision})

    async def set_read_limit(self, reads_per_s: int) -> None:
        """Changes the read limit in reads per second."""
        await self._put("mode", {"rate": reads_per_s})

    async def counters(self) -> dict[str, int]:
        """Returns the counters `admitted`, `refused` and `peak_per_s` of the reads."""
        found: dict[str, int] = await self._get("counters")
        return found

    async def reads(self) -> list[dict[str, Any]]:
        """Returns the log of reads, see `app.Read` for the fields."""
        found: list[dict[str, Any]] = (await self._get("reads"))["reads"]
        return found

    def _session(self) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S))

    async def _put(self, name: str, value: dict[str, Any]) -> None:
        async with (
            self._session() as session,
            session.put(f"{self._url}/admin/{name}", data=json.dumps(value)) as response,
        ):
            await _check(response)

    async def _get(self, name: str) -> Any:
        async with (
            self._session() as session,
            session.get(f"{self._url}/admin/{name}") as response,
        ):
            await _check(response)
            return await response.json()


async def _check(response: aiohttp.ClientResponse) -> None:
    if response.status >= 400:
        raise errors.TestkitError(
            f"{response.method} {response.url} was answered {response.status}: "
            f"{await response.text()}"
        )
