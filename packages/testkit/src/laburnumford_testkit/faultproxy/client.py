"""Client of the admin interface of a fault proxy."""

import json

import aiohttp

from laburnumford_testkit import errors
from laburnumford_testkit.faultproxy import faults as faults_module

REQUEST_TIMEOUT_S = 10.0


class FaultProxyClient:
    """Sends admin requests to a fault proxy in another process.

    Args:
        url: base URL of the admin port.
    """

    def __init__(self, *, url: str) -> None:
        self._url = url.rstrip("/")

    async def set_faults(self, faults: faults_module.Faults) -> None:
        """Replaces the faults that the proxy injects."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.put(f"{self._url}/admin/faults", data=json.dumps(faults.encode())) as response,
        ):
            if response.status >= 400:
                raise errors.TestkitError(
                    f"PUT {response.url} was answered {response.status}: {await response.text()}"
                )
