"""An object set together with its place in the chain of versions."""

import dataclasses

from laburnumford_objects import object_set

EMPTY_DIGEST = "0" * 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Published:
    """A version of a workspace.

    Attributes:
        object_set: the objects.
        version: number of the version, 0 for the empty set.
        digest: digest of the version, as hexadecimal digits.
        snapshot_version: version of the last snapshot that is published, 0 for none.
        snapshot_parts: number of its parts.
    """

    object_set: object_set.ObjectSet
    version: int
    digest: str
    snapshot_version: int
    snapshot_parts: int


def empty(workspace: str) -> Published:
    """Returns version 0 of a workspace."""
    return Published(
        object_set=object_set.ObjectSet(workspace=workspace),
        version=0,
        digest=EMPTY_DIGEST,
        snapshot_version=0,
        snapshot_parts=0,
    )
