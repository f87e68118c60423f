"""A published version of the objects of a workspace."""

import dataclasses

from laburnumford_objects import object_set

EMPTY_DIGEST = "0" * 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PublishedVersion:
    """The objects of a workspace at one version, with its digest and the last snapshot.

    Attributes:
        object_set: the objects.
        version: number of the version, 0 for the empty set.
        digest: digest of the version, as hexadecimal digits.
        snapshot_version: version of the last snapshot that is published, 0 for none.
        snapshot_parts: number of parts of that snapshot.
    """

    object_set: object_set.ObjectSet
    version: int
    digest: str
    snapshot_version: int
    snapshot_parts: int


def empty(workspace: str) -> PublishedVersion:
    """Returns version 0 of a workspace, the empty set."""
    return PublishedVersion(
        object_set=object_set.ObjectSet(workspace=workspace),
        version=0,
        digest=EMPTY_DIGEST,
        snapshot_version=0,
        snapshot_parts=0,
    )
