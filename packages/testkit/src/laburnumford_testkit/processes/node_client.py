"""Client of the operators' pages of a node."""

import time
from typing import Any

import aiohttp

from laburnumford_testkit import errors
from laburnumford_testkit.judge import versions

REQUEST_TIMEOUT_S = 5.0


class NodeClient:
    """Reads the operators' pages of one node.

    Args:
        name: name of the node.
        address: `ip:port` of the operators' pages.
    """

    def __init__(self, *, name: str, address: str) -> None:
        self._name = name
        self._url = f"http://{address}"

    async def status(self) -> dict[str, Any]:
        """Returns the status document of the node."""
        found: dict[str, Any] = await self._get("/status")
        return found

    async def explain(self, service: str) -> dict[str, Any]:
        """Returns how the node sees the servers of a service."""
        found: dict[str, Any] = await self._get(f"/explain?service={service}")
        return found

    async def observe_version(self) -> versions.Observation:
        """Returns the version in force at the node, with the time of the answer."""
        status = await self.status()
        return versions.Observation(
            node=self._name, version=int(status["fleet"]["version"]), at=time.monotonic()
        )

    async def _get(self, path: str) -> Any:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(f"{self._url}{path}") as response,
            ):
                if response.status != 200:
                    raise errors.TestkitError(f"GET {response.url} was answered {response.status}")
                return await response.json()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.TestkitError(f"GET {self._url}{path} failed: {error!r}") from error
