"""HTTP client of the platform's configuration service and list of VMs."""

import asyncio
import json
import random
import time
from typing import Any

import aiohttp

from laburnumford_fleet import errors, read_limit, value, vm, vm_list

# Values of the platform are at most 1 MB; the list of 10,000 VMs is about 0.7 MB.
_MAX_VALUE_BYTES = 1_048_576
_MAX_LIST_BYTES = 4_194_304
# Far above the milliseconds in which the platform answers.
_ANSWER_TIMEOUT_S = 2.0


class Platform:
    """Reads and watches the platform over HTTP, within the read limit.

    Args:
        url: base URL, such as ``http://127.0.0.1:8500``.
        limit: read limit of this node.
    """

    def __init__(self, *, url: str, limit: read_limit.ReadLimit) -> None:
        self._url = url.rstrip("/")
        self._limit = limit
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Closes the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self, key: str, *, max_wait_s: float) -> value.Value:
        """Reads one value.

        Args:
            key: the full key, such as ``laburnumford/nordvarde/head``.
            max_wait_s: longest wait for the read limit, in seconds.

        Raises:
            PlatformError: no value was read.
        """
        found = await self._get(f"/config/{key}", {}, max_wait_s, _ANSWER_TIMEOUT_S)
        if found is None:
            raise errors.PlatformUnavailableError(
                f"platform key {key!r}: found status 304, allowed 200"
            )
        return found

    async def watch(
        self, key: str, *, after: int, wait_s: float, max_wait_s: float
    ) -> value.Value | None:
        """Waits until the revision of a key is higher than `after`.

        Returns:
            The new value, or None when `wait_s` passed without a change.

        Raises:
            PlatformError: the platform gave no usable answer.
        """
        parameters = {"after": str(after), "wait_s": f"{wait_s:.3f}"}
        timeout_s = wait_s + _ANSWER_TIMEOUT_S
        return await self._get(f"/config/{key}", parameters, max_wait_s, timeout_s)

    async def vms(self, *, max_wait_s: float) -> vm_list.VmList:
        """Reads the list of live and leaving VMs.

        Raises:
            PlatformError: the list was not read or is malformed.
        """
        found = await self._get("/vms", {}, max_wait_s, _ANSWER_TIMEOUT_S, _MAX_LIST_BYTES)
        if found is None:
            raise errors.PlatformUnavailableError(
                "platform list /vms: found status 304, allowed 200"
            )
        return vm_list.VmList(_parse_vms(found.data), len(found.data))

    async def _get(
        self,
        path: str,
        parameters: dict[str, str],
        max_wait_s: float,
        timeout_s: float,
        max_bytes: int = _MAX_VALUE_BYTES,
    ) -> value.Value | None:
        delay_s = self._limit.reserve(now=time.monotonic(), max_wait_s=max_wait_s)
        if delay_s is None:
            raise errors.ReadLimitError(
                f"platform {path}: read limit of {self._limit.rate_per_s:.2f}/s does not admit a "
                f"read within {max_wait_s:.1f} s"
            )
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        if self._session is None:
            self._session = aiohttp.ClientSession(trust_env=False)
        try:
            async with self._session.get(
                self._url + path,
                params=parameters,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as answer:
                if answer.status == 304:
                    return None
                _check_status(path, answer.status)
                data = await answer.content.read(max_bytes + 1)
                while chunk := await answer.content.read(max_bytes + 1):
                    data += chunk
                    if len(data) > max_bytes:
                        break
                if len(data) > max_bytes:
                    raise errors.PlatformError(
                        f"platform {path}: found more than {max_bytes} bytes, allowed {max_bytes}"
                    )
                return value.Value(revision=_revision(answer.headers), data=data)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise errors.PlatformUnavailableError(
                f"platform {path}: {type(error).__name__} {error}"
            ) from error


def backoff_s(*, attempt: int, generator: random.Random, base_s: float, cap_s: float) -> float:
    """Returns a wait with full jitter between a tenth of the bound and the bound.

    Args:
        attempt: failures so far, from 1.
        generator: source of the jitter.
        base_s: bound of the first wait in seconds.
        cap_s: largest bound in seconds.
    """
    bound_s = min(cap_s, base_s * 2.0 ** min(attempt - 1, 16))
    return generator.uniform(bound_s / 10.0, bound_s)


def _check_status(path: str, status: int) -> None:
    if status == 200:
        return
    if status == 404:
        raise errors.KeyMissingError(f"platform {path}: found no value, status 404")
    if status == 429:
        raise errors.PlatformBusyError(
            f"platform {path}: read limit of the platform exceeded, status 429"
        )
    raise errors.PlatformUnavailableError(
        f"platform {path}: found status {status}, allowed 200 or 304"
    )


def _revision(headers: Any) -> int:
    text = headers.get("etag", "").strip().removeprefix("W/").strip('"')
    # The list of VMs has no revision.
    if not text:
        return 0
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        raise errors.PlatformError(f"platform etag: found {text[:40]!r}, allowed an integer")
    return int(text)


def _parse_vms(data: bytes) -> tuple[vm.Vm, ...]:
    try:
        rows = json.loads(data)["vms"]
        return tuple(
            vm.Vm(name=str(row["name"]), zone=str(row["zone"]), leaving=row["state"] == "leaving")
            for row in rows
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise errors.PlatformError(f"platform list /vms: malformed, {error!r}") from error
