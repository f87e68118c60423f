"""Snapshot that a node serves to its peers."""

import dataclasses
import hashlib
import zlib

from laburnumford_objects import delta, object_set, published, snapshot_header

# With its header, a part stays below the limit of `messages.Changes.data`, 1,048,576 bytes.
_MAX_PART_BYTES = 900_000


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSnapshot:
    """Holds the parts of a snapshot in the published form."""

    version: int
    digest: bytes
    parts: tuple[bytes, ...]


def encode(current: published.PublishedVersion) -> PeerSnapshot:
    """Encodes a version as a compressed snapshot, split into parts."""
    empty = object_set.ObjectSet(workspace=current.object_set.workspace)
    content = zlib.compress(delta.diff(empty, current.object_set).encode())
    chunks = [content[at : at + _MAX_PART_BYTES] for at in range(0, len(content), _MAX_PART_BYTES)]
    sha256 = hashlib.sha256(content).hexdigest()
    parts = tuple(
        snapshot_header.SnapshotHeader(
            workspace=current.object_set.workspace,
            version=current.version,
            digest=current.digest,
            part=number,
            parts=len(chunks),
            sha256=sha256,
        )
        .model_dump_json()
        .encode()
        + b"\n"
        + chunk
        for number, chunk in enumerate(chunks, 1)
    )
    return PeerSnapshot(current.version, bytes.fromhex(current.digest), parts)
