"""Creates the values that publish a version, and verifies them on a node.

The digest of version n is the SHA-256 of the 32 bytes of digest n-1 followed by the published
bytes of delta n. The digest of version 0, the empty set, is 32 zero bytes.
"""

import hashlib
from collections.abc import Mapping, Sequence

import pydantic

from laburnumford_objects import (
    _packing,
    _validation,
    change_record,
    check,
    delta,
    errors,
    object_set,
    problem,
    published,
    snapshot_header,
)
from laburnumford_objects import head as heads

# Versions between two snapshots. A node that starts reads the head, the last snapshot and fewer
# deltas than this.
SNAPSHOT_INTERVAL = 16

_MAX_PART_CONTENT_BYTES = _packing.MAX_VALUE_BYTES - 1000  # the header takes about 350 bytes


def key_prefix(workspace: str) -> str:
    """Returns the prefix of all keys of a workspace."""
    return f"laburnumford/{workspace}/"


def bundle(
    previous: published.PublishedVersion | None, new: object_set.ObjectSet, version: int
) -> dict[str, bytes]:
    """Returns the keys and values that publish `new` as `version`.

    The head must be written last, because readers start from it.

    Args:
        previous: the version in force, None to start a new chain of versions from the empty set.
            Nodes with an older version of the workspace then start from the snapshot.
        new: the objects to publish.
        version: the version after `previous`; without `previous`, any version from 1.

    Raises:
        BundleError: the objects have problems, the version is not the next one, the objects belong
            to another workspace than `previous`, or a published value is too large.
    """
    problems = list(check.check(new))
    if previous is not None and version != previous.version + 1:
        problems.append(_problem(new, "version", str(version), str(previous.version + 1)))
    if version < 1:
        problems.append(_problem(new, "version", str(version), "1 or more"))
    if previous is not None and previous.object_set.workspace != new.workspace:
        allowed = repr(previous.object_set.workspace)
        problems.append(_problem(new, "workspace", repr(new.workspace), allowed))
    if problems:
        raise errors.BundleError(problems)
    base = previous or published.empty(new.workspace)
    record = change_record.ChangeRecord(
        version=version, base=base.version, delta=delta.diff(base.object_set, new)
    )
    value = record.encode()
    if len(value) > _packing.MAX_VALUE_BYTES:
        allowed = f"at most {_packing.MAX_VALUE_BYTES} bytes in one published value"
        raise errors.BundleError([_problem(new, "delta", f"{len(value)} bytes", allowed)])
    digest = chain_digest(base.digest, value)
    prefix = key_prefix(new.workspace)
    values = {f"{prefix}delta/{version}": value}
    snapshot_version, parts = base.snapshot_version, base.snapshot_parts
    if snapshot_version == 0 or version - snapshot_version >= SNAPSHOT_INTERVAL:
        contents = _encode_snapshot(new, version, digest)
        snapshot_version, parts = version, len(contents)
        for number, content in enumerate(contents, 1):
            values[f"{prefix}snapshot/{version}/{number}"] = content
    head = heads.Head(
        workspace=new.workspace,
        version=version,
        digest=digest,
        snapshot_version=snapshot_version,
        snapshot_parts=parts,
    )
    values[f"{prefix}head"] = head.encode()
    return values


def chain_digest(previous: str, value: bytes) -> str:
    """Returns the digest of the version that a published delta leads to.

    Args:
        previous: digest of the version that the delta starts from, as hexadecimal digits.
        value: the published delta.
    """
    return hashlib.sha256(bytes.fromhex(previous) + value).hexdigest()


def verify_head(current: published.PublishedVersion, value: bytes) -> heads.Head:
    """Returns the published head if it names a higher version than `current`.

    Raises:
        CorruptVersionError: the value is not a valid head.
        MismatchError: the head belongs to another workspace, or names another digest for the
            version in force.
        LowerVersionError: the version is not higher.
    """
    head = heads.Head.decode(value)
    _expect_workspace("head", head.workspace, current)
    if head.version == current.version and head.digest != current.digest:
        raise errors.MismatchError(
            "head",
            f"found digest {head.digest} for version {head.version}; expected {current.digest}",
        )
    _expect_higher("head", head.version, current)
    return head


def verify_delta(
    current: published.PublishedVersion, value: bytes, digest: str | None = None
) -> published.PublishedVersion:
    """Returns the version that a published delta leads to from `current`.

    Args:
        current: the version in force.
        value: the published delta.
        digest: the expected digest of the new version; None inside a chain of deltas, of which
            the caller compares only the last digest.

    Raises:
        CorruptVersionError: the value is truncated, altered or not a delta.
        LowerVersionError: the version is not higher.
        MismatchError: the delta belongs to another workspace, does not start from `current`, does
            not fit its objects, or does not lead to `digest`.
        InvalidVersionError: the objects contradict each other after the delta.
    """
    reached = chain_digest(current.digest, value)
    record = change_record.ChangeRecord.decode(value, "delta")
    key = f"delta/{record.version}"
    _expect_workspace(key, record.delta.workspace, current)
    _expect_higher(key, record.version, current)
    if record.base != current.version:
        raise errors.MismatchError(
            key, f"found base {record.base}; expected {current.version}, the version in force"
        )
    if digest is not None and reached != digest:
        raise errors.MismatchError(key, f"found digest {reached}; expected {digest}")
    try:
        objects = delta.apply(current.object_set, record.delta)
    except errors.DeltaError as error:
        raise errors.MismatchError(key, str(error)) from error
    problems = check.check_delta(objects, record.delta)
    if problems:
        raise errors.InvalidVersionError(key, problems)
    return published.PublishedVersion(
        object_set=objects,
        version=record.version,
        digest=reached,
        snapshot_version=current.snapshot_version,
        snapshot_parts=current.snapshot_parts,
    )


def verify_deltas(
    current: published.PublishedVersion, values: Sequence[bytes], head: heads.Head
) -> published.PublishedVersion:
    """Returns the version of `head`, reached from `current` by consecutive published deltas.

    Raises:
        PartialVersionError: the deltas end before the version of the head.
        MismatchError: the deltas end at another version or digest than that of the head.
        VersionError: a delta cannot be applied, as for `verify_delta`.
    """
    for value in values:
        current = verify_delta(current, value)
    if current.version < head.version:
        raise errors.PartialVersionError(
            f"delta/{current.version + 1}", f"found no value; expected deltas to {head.version}"
        )
    if (current.version, current.digest) != (head.version, head.digest):
        raise errors.MismatchError(
            f"delta/{current.version}",
            f"found version {current.version} with digest {current.digest};"
            f" expected {head.version} with {head.digest}",
        )
    return published.PublishedVersion(
        object_set=current.object_set,
        version=current.version,
        digest=current.digest,
        snapshot_version=head.snapshot_version,
        snapshot_parts=head.snapshot_parts,
    )


def verify_snapshot(
    current: published.PublishedVersion, values: Sequence[bytes], head: heads.Head
) -> published.PublishedVersion:
    """Returns the version of a published snapshot, from which deltas lead to that of `head`.

    Args:
        current: the version in force.
        values: the parts of the snapshot in their order.
        head: the published head.

    Raises:
        PartialVersionError: the number of parts differs from that in the head.
        CorruptVersionError: a part is truncated or altered.
        MismatchError: the head belongs to another workspace, or a part belongs to another snapshot
            than the head names.
        LowerVersionError: the version is not higher.
        InvalidVersionError: the objects contradict each other.
    """
    key = f"snapshot/{head.snapshot_version}"
    _expect_workspace("head", head.workspace, current)
    _expect_higher(key, head.snapshot_version, current)
    if len(values) != head.snapshot_parts:
        raise errors.PartialVersionError(
            key, f"found {len(values)} parts; expected {head.snapshot_parts}"
        )
    first, _ = _split_part(values[0], f"{key}/1")
    if head.snapshot_version == head.version and first.digest != head.digest:
        raise errors.MismatchError(key, f"found digest {first.digest}; expected {head.digest}")
    contents = []
    for number, value in enumerate(values, 1):
        header, content = _split_part(value, f"{key}/{number}")
        expected = first.model_copy(
            update={
                "workspace": head.workspace,
                "version": head.snapshot_version,
                "part": number,
                "parts": head.snapshot_parts,
            }
        )
        if header != expected:
            raise errors.MismatchError(f"{key}/{number}", f"found {header}; expected {expected}")
        contents.append(content)
    joined = b"".join(contents)
    found = hashlib.sha256(joined).hexdigest()
    if found != first.sha256:
        raise errors.CorruptVersionError(key, f"found sha256 {found}; expected {first.sha256}")
    return published.PublishedVersion(
        object_set=_decode_snapshot(key, joined, head.workspace),
        version=head.snapshot_version,
        digest=first.digest,
        snapshot_version=head.snapshot_version,
        snapshot_parts=head.snapshot_parts,
    )


def read(values: Mapping[str, bytes], workspace: str) -> published.PublishedVersion:
    """Returns the version in force of a workspace, given all its published values.

    Raises:
        VersionError: a value is missing or cannot be applied, as for `verify_head`,
            `verify_snapshot` and `verify_deltas`.
    """
    prefix = key_prefix(workspace)

    def value_of(key: str) -> bytes:
        if prefix + key not in values:
            raise errors.PartialVersionError(key, "found no value; expected a published value")
        return values[prefix + key]

    start = published.empty(workspace)
    head = verify_head(start, value_of("head"))
    parts = [
        value_of(f"snapshot/{head.snapshot_version}/{number}")
        for number in range(1, head.snapshot_parts + 1)
    ]
    snapshot = verify_snapshot(start, parts, head)
    deltas = [
        value_of(f"delta/{version}")
        for version in range(head.snapshot_version + 1, head.version + 1)
    ]
    return verify_deltas(snapshot, deltas, head)


def _encode_snapshot(objects: object_set.ObjectSet, version: int, digest: str) -> list[bytes]:
    empty = object_set.ObjectSet(workspace=objects.workspace)
    content = _packing.pack(delta.diff(empty, objects).encode())
    sha256 = hashlib.sha256(content).hexdigest()
    chunks = [
        content[at : at + _MAX_PART_CONTENT_BYTES]
        for at in range(0, len(content), _MAX_PART_CONTENT_BYTES)
    ]
    values = []
    for number, chunk in enumerate(chunks, 1):
        header = snapshot_header.SnapshotHeader(
            workspace=objects.workspace,
            version=version,
            digest=digest,
            part=number,
            parts=len(chunks),
            sha256=sha256,
        )
        values.append(header.model_dump_json().encode() + b"\n" + chunk)
    return values


def _split_part(value: bytes, key: str) -> tuple[snapshot_header.SnapshotHeader, bytes]:
    line, separator, content = value.partition(b"\n")
    if not separator:
        raise errors.CorruptVersionError(
            key, "found no header line; expected a part of a snapshot"
        )
    try:
        return snapshot_header.SnapshotHeader.model_validate_json(line), content
    except pydantic.ValidationError as error:
        raise errors.CorruptVersionError(key, _validation.summarise(error)) from error


def _decode_snapshot(key: str, content: bytes, workspace: str) -> object_set.ObjectSet:
    try:
        change = delta.Delta.decode(_packing.unpack(content, key))
        objects = delta.apply(object_set.ObjectSet(workspace=workspace), change)
    except errors.DeltaError as error:
        raise errors.CorruptVersionError(key, str(error)) from error
    problems = check.check_delta(objects, change)
    if problems:
        raise errors.InvalidVersionError(key, problems)
    return objects


def _expect_workspace(key: str, found: str, current: published.PublishedVersion) -> None:
    expected = current.object_set.workspace
    if found != expected:
        raise errors.MismatchError(key, f"found workspace {found!r}; expected {expected!r}")


def _expect_higher(key: str, found: int, current: published.PublishedVersion) -> None:
    if found <= current.version:
        raise errors.LowerVersionError(
            key, f"found version {found}; expected more than {current.version}, the one in force"
        )


def _problem(
    objects: object_set.ObjectSet, field: str, found: str, allowed: str
) -> problem.Problem:
    return problem.Problem(
        file=objects.origin.file if objects.origin else "",
        line=1 if objects.origin else 0,
        object=f"workspace {objects.workspace!r}",
        field=field,
        found=found,
        allowed=allowed,
        rule="bundle",
    )
