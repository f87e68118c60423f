"""Tasks that read versions and the list of VMs from the platform."""

import asyncio
import logging
import random
import time
from collections.abc import Callable

from laburnumford_fleet import (
    errors,
    membership,
    platform,
    platform_mode,
    value,
    version_store,
)
from laburnumford_objects import bundle
from laburnumford_objects import errors as object_errors
from laburnumford_objects import head as heads

_log = logging.getLogger(__name__)

SOURCE = "platform"
_WATCH_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 5.0
_OFF_CHECK_INTERVAL_S = 1.0
_BACKOFF_BASE_S = 0.5
_BACKOFF_CAP_S = 15.0
_LIST_INTERVAL_S = 5.0
# The list of 10,000 VMs is 0.7 MB; a reader spends at most 1 KB/s of its control budget on it.
_MAX_LIST_BYTES_PER_S = 1000.0
# Nodes that are not readers read only lists of up to this size (about 280 VMs). In larger fleets
# they learn of leaving VMs from reports of the readers.
_MAX_NON_READER_LIST_BYTES = 20_000
_MAX_READ_LIMIT_WAIT_S = 30.0


class PlatformReader:
    """Reads versions into the version store and the list of VMs into the membership view.

    Args:
        client: client of the platform.
        workspace: name of the workspace.
        store: version in force.
        view: membership view that merges the list of VMs.
        mode: returns the mode in which this node reads now.
        generator: source of the jitter.
        on_read: called after each read of the head, also if it has not changed.
        on_applied: called after a version was applied.
        on_list: called with the number of VMs after the list was read.
    """

    def __init__(
        self,
        *,
        client: platform.Platform,
        workspace: str,
        store: version_store.VersionStore,
        view: membership.Membership,
        mode: Callable[[], platform_mode.PlatformMode],
        generator: random.Random,
        on_read: Callable[[], None],
        on_applied: Callable[[], None],
        on_list: Callable[[int], None],
    ) -> None:
        self._client = client
        self._prefix = bundle.key_prefix(workspace)
        self._store = store
        self._view = view
        self._mode = mode
        self._generator = generator
        self._on_read = on_read
        self._on_applied = on_applied
        self._on_list = on_list
        self._revision = 0
        self._last_lower_version_text = ""
        self.read_at: float | None = None
        self.failed_at: float | None = None
        self.list_read_at: float | None = None

    async def run(self) -> None:
        """Reads versions until cancelled, with backoff after errors."""
        attempt = 0
        while True:
            mode = self._mode()
            try:
                if mode is platform_mode.PlatformMode.OFF:
                    await asyncio.sleep(_OFF_CHECK_INTERVAL_S)
                    continue
                await self.read(watch=mode is platform_mode.PlatformMode.WATCH)
                attempt = 0
                # The first version may have made this node a reader, which watches without a wait.
                if mode is self._mode() is platform_mode.PlatformMode.POLL:
                    await asyncio.sleep(_POLL_INTERVAL_S * self._generator.uniform(0.5, 1.5))
            except errors.FleetError as error:
                attempt += 1
                self.failed_at = time.monotonic()
                if attempt == 1:
                    _log.warning("fleet: platform read failed: %s", error)
                await asyncio.sleep(
                    platform.backoff_s(
                        attempt=attempt,
                        generator=self._generator,
                        base_s=_BACKOFF_BASE_S,
                        cap_s=_BACKOFF_CAP_S,
                    )
                )

    async def run_list(self) -> None:
        """Reads the list of VMs until cancelled."""
        size_bytes = 0
        while True:
            reads_versions = self._mode() is not platform_mode.PlatformMode.OFF
            if reads_versions or size_bytes <= _MAX_NON_READER_LIST_BYTES:
                try:
                    found = await self._client.vms(max_wait_s=_MAX_READ_LIMIT_WAIT_S)
                    size_bytes = found.size_bytes
                    now = time.monotonic()
                    self._view.apply_list(found.vms, now=now)
                    self.list_read_at = now
                    self._on_list(len(found.vms))
                except errors.PlatformError as error:
                    _log.info("fleet: list of VMs was not read: %s", error)
            interval_s = max(_LIST_INTERVAL_S, size_bytes / _MAX_LIST_BYTES_PER_S)
            await asyncio.sleep(interval_s * self._generator.uniform(0.7, 1.3))

    async def read(self, *, watch: bool) -> None:
        """Reads or watches the head and applies the version that it names.

        Raises:
            FleetError: the read failed or the version is invalid.
        """
        key = self._prefix + "head"
        head: value.Value | None
        if watch and self._revision:
            head = await self._client.watch(
                key,
                after=self._revision,
                wait_s=_WATCH_TIMEOUT_S * self._generator.uniform(0.8, 1.2),
                max_wait_s=_MAX_READ_LIMIT_WAIT_S,
            )
        else:
            head = await self._client.read(key, max_wait_s=_MAX_READ_LIMIT_WAIT_S)
        self.read_at = time.monotonic()
        if head is not None:
            await self._apply_head(head)
            # Set only now, so that the head is read again after a failed read of a delta.
            self._revision = head.revision
        self._on_read()

    async def _apply_head(self, found: value.Value) -> None:
        try:
            head = bundle.verify_head(self._store.current, found.data)
        except object_errors.LowerVersionError as error:
            if str(error) != self._last_lower_version_text:
                self._last_lower_version_text = str(error)
                _log.info("fleet: head of the platform was not applied: %s", error)
            return
        except object_errors.VersionError as error:
            raise self._store.reject(version=0, digest="", node=SOURCE, error=error) from error
        missing = head.version - self._store.version
        by_snapshot = head.snapshot_parts + head.version - head.snapshot_version
        if head.snapshot_version <= self._store.version or missing <= by_snapshot:
            try:
                await self._apply_deltas(head)
                return
            except errors.VersionError as error:
                if head.snapshot_version <= self._store.version:
                    raise
                _log.warning("fleet: deltas cannot be applied, reading the snapshot: %s", error)
        await self._apply_snapshot(head)
        if head.version > self._store.version:
            await self._apply_deltas(head)

    async def _apply_deltas(self, head: heads.Head) -> None:
        since = self._store.version
        values = []
        for version in range(since + 1, head.version + 1):
            found = await self._read_value(f"delta/{version}")
            if self._store.version >= head.version:
                return
            if found is None:
                # The store rejects the incomplete version and records it.
                break
            values.append(found)
        values = values[self._store.version - since :]
        if self._store.apply_deltas(values, head, node=SOURCE):
            self._on_applied()

    async def _apply_snapshot(self, head: heads.Head) -> None:
        parts = []
        for part in range(1, head.snapshot_parts + 1):
            found = await self._read_value(f"snapshot/{head.snapshot_version}/{part}")
            if self._store.version >= head.snapshot_version:
                return
            if found is None:
                break
            parts.append(found)
        if self._store.apply_snapshot(parts, head, node=SOURCE):
            self._on_applied()

    async def _read_value(self, key: str) -> bytes | None:
        """Reads the value of a key; returns None if the platform has no value for it."""
        try:
            found = await self._client.read(self._prefix + key, max_wait_s=_MAX_READ_LIMIT_WAIT_S)
        except errors.KeyMissingError:
            return None
        return found.data
