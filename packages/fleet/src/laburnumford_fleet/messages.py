"""Control messages between nodes, as MessagePack arrays.

Every field is bounded, so a malicious message costs at most its size limit and
is rejected with `errors.MessageError`.
"""

import typing
from typing import Annotated, Final, TypeVar

import msgspec

from laburnumford_fleet import errors

# Snapshot parts and single deltas are below 1 MB, as on the platform; the rest is for the fields
# around them.
MAX_MESSAGE_BYTES: Final = 1_200_000
# All messages but the answer to a fetch fit into one burst of packets of a few KB.
MAX_SMALL_MESSAGE_BYTES: Final = 8_192
# One message a second with this many reports of 40 bytes each stays below the control budget.
MAX_REPORTS: Final = 16
MAX_SAMPLES: Final = 32
MAX_DELTAS: Final = 256
# Bounds the deltas of one answer together, so that the answer stays below MAX_MESSAGE_BYTES.
MAX_DELTA_BYTES: Final = 1_048_576

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
Digest = Annotated[bytes, msgspec.Meta(min_length=32, max_length=32)]
AgeMs = Annotated[int, msgspec.Meta(ge=0, le=86_400_000)]

# Ten years, far above the uptime of a VM.
UptimeMs = Annotated[int, msgspec.Meta(ge=0, le=315_360_000_000)]

Message = TypeVar("Message", bound=msgspec.Struct)


class Report(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Reports the state of the node of one server.

    `state` is a value of `report_state.ReportState`, `age_ms` the age of the
    observation and `uptime_ms` the time since the incarnation started.
    """

    server: Name
    incarnation: NonNegativeInt
    state: Annotated[int, msgspec.Meta(ge=0, le=3)]
    uptime_ms: UptimeMs
    age_ms: AgeMs


class Sample(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Gives the version in force at one node of the sample that all nodes share.

    `rank` is the hash of the name of the node.
    """

    rank: NonNegativeInt
    version: NonNegativeInt
    age_ms: AgeMs


class Announce(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Announces the version in force at the sender to a neighbour, with queued reports."""

    node: Name
    incarnation: NonNegativeInt
    uptime_ms: UptimeMs
    version: NonNegativeInt
    digest: Digest
    leaving: bool
    reports: Annotated[tuple[Report, ...], msgspec.Meta(max_length=MAX_REPORTS)] = ()


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Answers `Announce` with the version in force at the receiver."""

    incarnation: NonNegativeInt
    version: NonNegativeInt


class Exchange(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Carries the state of the sender for anti-entropy; request and answer have the same form."""

    node: Name
    incarnation: NonNegativeInt
    uptime_ms: UptimeMs
    version: NonNegativeInt
    digest: Digest
    leaving: bool
    samples: Annotated[tuple[Sample, ...], msgspec.Meta(max_length=MAX_SAMPLES)] = ()
    reports: Annotated[tuple[Report, ...], msgspec.Meta(max_length=MAX_REPORTS)] = ()


class Fetch(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Requests the changes after a version, or a part of a snapshot.

    With `snapshot` false the answer holds deltas, or the first part of a snapshot
    when the answering node no longer holds the deltas.
    """

    since: NonNegativeInt
    digest: Digest
    snapshot: bool = False
    snapshot_version: NonNegativeInt = 0
    part: Annotated[int, msgspec.Meta(ge=0, le=1024)] = 0


class Changes(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Answers `Fetch` with deltas after a version, or with one part of a snapshot.

    `parts` is 0 for deltas. `version` and `digest` describe the state after the
    deltas of this answer, or the state in the snapshot.
    """

    version: NonNegativeInt
    digest: Digest
    deltas: Annotated[tuple[bytes, ...], msgspec.Meta(max_length=MAX_DELTAS)] = ()
    parts: Annotated[int, msgspec.Meta(ge=0, le=1024)] = 0
    part: Annotated[int, msgspec.Meta(ge=0, le=1024)] = 0
    data: Annotated[bytes, msgspec.Meta(max_length=1_048_576)] = b""


def encode(message: msgspec.Struct) -> bytes:
    """Encodes a message as MessagePack."""
    return msgspec.msgpack.encode(message)


_DECODERS: Final[dict[type[msgspec.Struct], msgspec.msgpack.Decoder[msgspec.Struct]]] = {
    kind: msgspec.msgpack.Decoder(kind)
    for kind in (Report, Sample, Announce, Acknowledge, Exchange, Fetch, Changes)
}


def decode(
    kind: type[Message], data: bytes, *, max_bytes: int = MAX_SMALL_MESSAGE_BYTES
) -> Message:
    """Decodes a message of the given type.

    Raises:
        MessageError: the data is too large or is not a message of this type.
    """
    if len(data) > max_bytes:
        raise errors.MessageError(f"{kind.__name__}: found {len(data)} bytes, allowed {max_bytes}")
    try:
        return typing.cast(Message, _DECODERS[kind].decode(data))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise errors.MessageError(f"{kind.__name__}: {error}") from error
