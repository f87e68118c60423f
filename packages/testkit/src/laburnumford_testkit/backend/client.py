"""Client of the admin interface of a fake backend server."""

import json
from typing import Any

import aiohttp

from laburnumford_testkit import errors
from laburnumford_testkit.backend import fault as fault_module
from laburnumford_testkit.backend import run as run_module

REQUEST_TIMEOUT_S = 30.0


class BackendClient:
    """Sends admin requests to a fake backend server, which may run in another process.

    Args:
        url: base URL of the fake backend server.
    """

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip("/")

    async def set_fault(self, fault: fault_module.Fault) -> None:
        """Replaces the fault that the server injects."""
        await self._request("PUT", "fault", fault.encode())

    async def set_draining(self, draining: bool) -> None:
        """Sets whether answers carry `laburnumford-draining: 1`."""
        await self._request("PUT", "drain", {"draining": draining})

    async def counters(self) -> dict[str, int]:
        """Returns the counters by name, see `server.Server.counters`."""
        found: dict[str, int] = await self._request("GET", "counters")
        return found

    async def runs(self) -> tuple[run_module.Run, ...]:
        """Returns all runs of the server in order of their start."""
        log = await self._request("GET", "log")
        return tuple(run_module.Run(**run) for run in log["runs"])

    async def measuring_requests(self) -> tuple[tuple[float, int], ...]:
        """Returns the time in seconds and the size in bytes of each health and load request."""
        log = await self._request("GET", "log")
        return tuple((at, size) for at, size in log["measuring"])

    async def _request(self, method: str, name: str, value: Any = None) -> Any:
        data = None if value is None else json.dumps(value)
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, f"{self._url}/admin/{name}", data=data) as response,
        ):
            if response.status >= 400:
                raise errors.TestkitError(
                    f"{method} {response.url} was answered {response.status}: "
                    f"{await response.text()}"
                )
            return await response.json()
