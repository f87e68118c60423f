"""Store of the version in force."""

import asyncio
import collections
import hashlib
import logging
import time
from collections.abc import Sequence

from laburnumford_fleet import _log_entry, _peer_snapshot, errors, messages, rejected_version
from laburnumford_objects import bundle, object_set, published
from laburnumford_objects import errors as object_errors
from laburnumford_objects import head as heads

_log = logging.getLogger(__name__)

# Deltas kept for peers with older versions: at 15,000 changes a day, 1,024 deltas last 98 minutes.
_MAX_LOG_DELTAS = 1024
_MAX_LOG_BYTES = 4_194_304
_MAX_REJECTED_VERSIONS = 32


class VersionStore:
    """Holds the version in force and applies higher versions atomically.

    A new version is applied by replacing one reference to an immutable object,
    so a reader of `object_set` never sees part of a change.

    Args:
        workspace: name of the workspace whose versions are applied.
    """

    def __init__(self, *, workspace: str) -> None:
        self._current = published.empty(workspace)
        self._source = ""
        self._applied_at: float | None = None
        # Deltas that lead from the base version to the version in force, oldest first.
        self._deltas: collections.deque[_log_entry.LogEntry] = collections.deque()
        self._deltas_bytes = 0
        self._base_version = self.version
        self._base_digest = self.digest
        self._rejected: collections.OrderedDict[
            tuple[int, str], rejected_version.RejectedVersion
        ] = collections.OrderedDict()
        self._snapshot: _peer_snapshot.PeerSnapshot | None = None
        self._encode_lock = asyncio.Lock()

    @property
    def current(self) -> published.PublishedVersion:
        """The version in force with its digest."""
        return self._current

    @property
    def version(self) -> int:
        """Number of the version in force, 0 before the first one."""
        return self._current.version

    @property
    def digest(self) -> bytes:
        """Digest of the version in force, 32 bytes."""
        return bytes.fromhex(self._current.digest)

    @property
    def object_set(self) -> object_set.ObjectSet:
        """Objects of the version in force."""
        return self._current.object_set

    @property
    def source(self) -> str:
        """Node that the version in force came from, or ``"platform"``."""
        return self._source

    @property
    def applied_at(self) -> float | None:
        """Monotonic time in seconds when the version in force was applied."""
        return self._applied_at

    @property
    def rejected(self) -> tuple[rejected_version.RejectedVersion, ...]:
        """Latest versions that were not applied, oldest first."""
        return tuple(self._rejected.values())

    def reject(
        self, *, version: int, digest: str, node: str, error: object_errors.VersionError
    ) -> errors.VersionError:
        """Records a version that is not applied and returns the error of this package."""
        # A version that was rejected before moves to the end without a second record or log line.
        if self._rejected.pop((version, digest), None) is None:
            _log.error("fleet: rejected version %d from %s: %s", version, node, error)
        self._rejected[version, digest] = rejected_version.RejectedVersion(
            version, node, error.object, error.reason, time.monotonic()
        )
        while len(self._rejected) > _MAX_REJECTED_VERSIONS:
            self._rejected.popitem(last=False)
        return errors.VersionError(object_name=error.object, reason=error.reason)

    def apply_deltas(self, values: Sequence[bytes], head: heads.Head, *, node: str) -> bool:
        """Applies consecutive deltas that lead from the version in force to a head.

        Args:
            values: published bytes of the deltas, the first one after the version in force.
            head: version and digest that the deltas must lead to.
            node: name of the node that sent the deltas, or ``"platform"``.

        Returns:
            Whether the version in force changed; False if it is as high already.

        Raises:
            VersionError: the deltas do not lead to the head; recorded as rejected.
        """
        if head.version <= self.version:
            return False
        try:
            reached = bundle.verify_deltas(self._current, values, head)
        except object_errors.VersionError as error:
            raise self.reject(
                version=head.version, digest=head.digest, node=node, error=error
            ) from error
        digest = self.digest
        for number, value in enumerate(values, self.version + 1):
            digest = hashlib.sha256(digest + value).digest()
            self._deltas.append(_log_entry.LogEntry(number, value, digest))
            self._deltas_bytes += len(value)
        self._swap(reached, node)
        while len(self._deltas) > _MAX_LOG_DELTAS or self._deltas_bytes > _MAX_LOG_BYTES:
            dropped = self._deltas.popleft()
            self._deltas_bytes -= len(dropped.value)
            self._base_version, self._base_digest = dropped.version, dropped.digest
        return True

    def apply_snapshot(self, parts: Sequence[bytes], head: heads.Head, *, node: str) -> bool:
        """Applies a complete snapshot.

        Args:
            parts: all parts in order.
            head: names the version and the number of parts of the snapshot.
            node: name of the node that sent the snapshot, or ``"platform"``.

        Returns:
            Whether the version in force changed; False if it is as high already.

        Raises:
            VersionError: the snapshot is incomplete, corrupt or invalid; recorded as rejected.
        """
        if head.snapshot_version <= self.version:
            return False
        try:
            reached = bundle.verify_snapshot(self._current, parts, head)
        except object_errors.VersionError as error:
            raise self.reject(
                version=head.snapshot_version, digest=head.digest, node=node, error=error
            ) from error
        self._swap(reached, node)
        self._deltas.clear()
        self._deltas_bytes = 0
        self._base_version, self._base_digest = self.version, self.digest
        self._snapshot = _peer_snapshot.PeerSnapshot(self.version, self.digest, tuple(parts))
        return True

    async def changes(self, request: messages.Fetch) -> messages.Changes:
        """Returns the answer to a peer that fetches changes.

        The answer holds deltas if the delta log reaches back to the version of
        the peer and the digests of that version agree. Otherwise it holds a part
        of a snapshot that the delta log continues.

        Raises:
            MessageError: the part does not exist, or its snapshot was replaced.
        """
        if request.part == 0 and request.since >= self.version:
            return messages.Changes(self.version, self.digest)
        if not request.snapshot:
            found = self._deltas_after(request.since, request.digest)
            if found is not None:
                return found
        if request.part == 0:
            await self._renew_snapshot(request)
        snapshot = self._snapshot
        if snapshot is None or (request.part and snapshot.version != request.snapshot_version):
            raise errors.MessageError(
                f"Fetch: snapshot of version {request.snapshot_version} is no longer kept"
            )
        if request.part >= len(snapshot.parts):
            raise errors.MessageError(
                f"Fetch: found part {request.part}, allowed below {len(snapshot.parts)}"
            )
        return messages.Changes(
            snapshot.version,
            snapshot.digest,
            (),
            len(snapshot.parts),
            request.part,
            snapshot.parts[request.part],
        )

    def _swap(self, reached: published.PublishedVersion, node: str) -> None:
        self._current = reached
        self._source = node
        self._applied_at = time.monotonic()
        _log.info("fleet: version %d from %s is in force", reached.version, node)

    def _deltas_after(self, since: int, digest: bytes) -> messages.Changes | None:
        index = since - self._base_version
        if not 0 <= index < len(self._deltas):
            return None
        known = self._deltas[index - 1].digest if index else self._base_digest
        if known != digest:
            return None
        values: list[bytes] = []
        size = 0
        last = self._deltas[index]
        for position in range(index, len(self._deltas)):
            entry = self._deltas[position]
            size += len(entry.value)
            if values and (size > messages.MAX_DELTA_BYTES or len(values) == messages.MAX_DELTAS):
                break
            values.append(entry.value)
            last = entry
        return messages.Changes(last.version, last.digest, tuple(values))

    async def _renew_snapshot(self, request: messages.Fetch) -> None:
        """Encodes the version in force unless the peer can use the kept snapshot.

        The peer can use it if its version is higher than the peer's and the
        delta log continues it.
        """
        async with self._encode_lock:
            oldest = max(self._base_version, request.since + 1)
            if self._snapshot is None or self._snapshot.version < oldest:
                # Compression in a thread does not block the event loop; the version is immutable.
                self._snapshot = await asyncio.to_thread(_peer_snapshot.encode, self._current)
