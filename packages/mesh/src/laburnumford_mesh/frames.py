"""Messages between nodes, each a msgpack array; a length prefix delimits them on a stream."""

import struct
from typing import Any

import msgspec

from laburnumford_mesh import errors, record

LENGTH_PREFIX = struct.Struct("!I")
MAX_FRAME_BYTES = 72 * 1024 * 1024
"""Fits a body of the largest published size and its header fields."""


CHUNK_BYTES = 32 * 1024
"""Largest part of a body in one frame; takes 52 ms on a link of 5 Mbit/s, for which frames behind
it wait."""


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """Load and speed of the backend server adjacent to a node.

    Attributes:
        server_id: id of the server.
        sequence: number of the report since the start of the node.
        running: requests that run on the server.
        waiting: requests that are queued in the node.
        concurrency_limit: requests that the node lets run at the same time.
        slowness: factor of the service times against normal speed, 1.0 is normal.
        slowness_age_s: seconds since the server reported its slowness.
        slow_for_s: seconds from the server's last report outside a slowdown to its latest report,
            0 outside a slowdown.
        baseline: slowness without the slowdown.
        mean_slowdown_s: mean duration of the slowdowns of the server in seconds.
        limit_known: whether the node has heard the server since its start; otherwise the report
            says nothing about a limit.
        rate_limit_per_s: requests per second that the server takes, None without a limit.
        tokens: requests that may be started at once under this limit, less those that wait.
        capacity: work that the server completes while requests wait, in seconds of service time
            at normal speed per second; 0 if it has not been measured.
    """

    server_id: str
    sequence: int
    running: int
    waiting: int
    concurrency_limit: int
    slowness: float
    slowness_age_s: float
    slow_for_s: float
    baseline: float = 1.0
    mean_slowdown_s: float = 0.2
    limit_known: bool = False
    rate_limit_per_s: float | None = None
    tokens: float = 0.0
    capacity: float = 0.0


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """Opens a stream; each end sends it first.

    Attributes:
        incarnation: random number of this start of the node.
        stopping: whether the node takes no more requests.
        takes_chunks: whether the node knows the frames for bodies in chunks.
    """

    incarnation: int
    stopping: bool
    takes_chunks: bool = False


class Request(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A request for the backend server adjacent to the receiving node.

    Attributes:
        call_id: number of the call since the start of the sending node.
        server_id: id of the only server that may run the request.
        method: request method.
        target: request target.
        fields: end-to-end header fields.
        body: complete body.
        remaining_s: seconds until the deadline.
        soft_remaining_s: seconds until the soft deadline, negative after it.
        idempotent: whether the request may run more than once.
        priority: priority, 0 is the highest.
        request_class: name of the route, by which service times are learned.
        expects_slowdown: whether the sender knows that the server may be in a slowdown. If it does
            not, the receiver refuses the request during one, so that the sender may choose another
            server.
        offer_accepted: whether the receiver has accepted an offer of this request.
        service_time_s: service time in seconds at normal speed that the sender expects; a receiver
            that has run no such request yet uses it.
        rate_limit_per_s: latest limit of the server that the sender knows; a receiver that has got
            no answer of the server since its start uses it.
        caller_vm: VM at which the request entered, empty if unknown.
        caller_connection: connection of the caller at that VM, 0 if unknown.
    """

    call_id: int
    server_id: str
    method: bytes
    target: bytes
    fields: list[tuple[bytes, bytes]]
    body: bytes
    remaining_s: float
    soft_remaining_s: float
    idempotent: bool
    priority: int
    request_class: str
    expects_slowdown: bool
    offer_accepted: bool
    service_time_s: float = 0.05
    rate_limit_per_s: float | None = None
    caller_vm: str = ""
    caller_connection: int = 0


class Answer(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Carries the server's answer to a request.

    Attributes:
        service_time_s: seconds that the server took.
        slowness: slowness of the server when the request started.
    """

    call_id: int
    status: int
    reason: bytes
    fields: list[tuple[bytes, bytes]]
    body: bytes
    service_time_s: float
    load: LoadReport
    slowness: float = 1.0


class Refusal(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Tells the sender that the request did not run and never will.

    Attributes:
        share_level: level at which the caller is above its fair share of the server (1: request
            class, 2: VM, 3: connection), 0 if it is not.
    """

    call_id: int
    reason: str
    retry_after_s: float
    load: LoadReport
    share_level: int = 0


class UnknownOutcome(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Tells the sender that the request may have run and gets no answer."""

    call_id: int
    reason: str
    load: LoadReport


class Cancel(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Cancels a call whose answer the sender no longer needs."""

    call_id: int


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Checks that the other node still answers on the stream."""


class Pong(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Answers a ping."""


class Pull(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Asks for the published values that changed after a revision.

    Attributes:
        revision: revision up to which the sender's values are complete.
        era: era of the store to which the revision belongs.
    """

    revision: int
    era: int = 0


class PullResponse(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Answers a pull.

    Attributes:
        revision: revision up to which the answer is complete.
        age_s: seconds since the sender last knew that its values were current.
        is_snapshot: whether the records are all that the sender has.
        compressed_records: list of records, encoded with msgpack and compressed with zlib.
        era: era of the store to which the revision belongs.
    """

    revision: int
    age_s: float
    is_snapshot: bool
    compressed_records: bytes
    era: int = 0


class Digest(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Tells a peer the revision of the sender's published values and how current they are.

    Attributes:
        incarnation: random number of this start of the sender.
        revision: revision up to which the sender's values are complete.
        age_s: seconds since the sender last knew that its values were current.
        history_revision: revision since which the sender knows all changes; receivers at an older
            one would get a snapshot.
        era: era of the store to which both revisions belong.
    """

    incarnation: int
    revision: int
    age_s: float
    history_revision: int = 0
    era: int = 0


class LoadUpdate(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """Tells recent callers of a server its load."""

    load: LoadReport


class GoAway(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """Announces that the sender stops and takes no more requests."""

    server_id: str


class Offer(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """Asks whether the receiver would accept a request, before its body is sent.

    The attributes have the same meaning as those of `Request`.

    Attributes:
        body_bytes: size of the body, 0 if the sender does not state it.
    """

    call_id: int
    server_id: str
    remaining_s: float
    soft_remaining_s: float
    idempotent: bool
    priority: int
    request_class: str
    expects_slowdown: bool
    service_time_s: float = 0.05
    body_bytes: int = 0
    caller_vm: str = ""
    caller_connection: int = 0


class Acceptance(msgspec.Struct, array_like=True, frozen=True, tag=14):
    """Accepts an offer; a slot is reserved for the request for a short time."""

    call_id: int
    load: LoadReport


class LargeRequest(msgspec.Struct, array_like=True, frozen=True, tag=15):
    """Announces a request whose body is sent in chunks once the receiver grants it.

    Attributes:
        request: the request with an empty body.
        body_bytes: size of the body.
    """

    request: Request
    body_bytes: int


class LargeAnswer(msgspec.Struct, array_like=True, frozen=True, tag=16):
    """Announces an answer whose body is sent in chunks once the receiver grants it.

    Attributes:
        answer: the answer with an empty body.
        body_bytes: size of the body.
    """

    answer: Answer
    body_bytes: int


class BodyGrant(msgspec.Struct, array_like=True, frozen=True, tag=17):
    """Tells that the receiver has memory for the announced body of a call and waits for it."""

    call_id: int


class BodyChunk(msgspec.Struct, array_like=True, frozen=True, tag=18):
    """Carries a part of the body of a request or of its answer.

    Attributes:
        offset: position of the part in the body.
        data: the part, at most `CHUNK_BYTES`.
    """

    call_id: int
    offset: int
    data: memoryview


class BodyReceived(msgspec.Struct, array_like=True, frozen=True, tag=19):
    """Tells that the body of an answer was received completely and need not be retained."""

    call_id: int


Frame = (
    Hello
    | Request
    | Answer
    | Refusal
    | UnknownOutcome
    | Cancel
    | Ping
    | Pong
    | Pull
    | PullResponse
    | Digest
    | LoadUpdate
    | GoAway
    | Offer
    | Acceptance
    | LargeRequest
    | LargeAnswer
    | BodyGrant
    | BodyChunk
    | BodyReceived
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Frame)
_RECORDS_DECODER = msgspec.msgpack.Decoder(list[record.Record])


def encode(frame: Any) -> bytes:
    """Returns an encoded frame without a length prefix."""
    return _ENCODER.encode(frame)


def encode_for_stream(frame: Any) -> bytes:
    """Returns an encoded frame with a length prefix."""
    encoded = _ENCODER.encode(frame)
    return LENGTH_PREFIX.pack(len(encoded)) + encoded


def decode(data: bytes | memoryview) -> Any:
    """Returns the frame that was encoded without a length prefix.

    Raises:
        DecodeError: the bytes are not a valid frame.
    """
    return _decode(_DECODER, data)


def decode_records(data: bytes) -> list[record.Record]:
    """Returns an encoded list of records.

    Raises:
        DecodeError: the bytes are not a valid list of records.
    """
    found: list[record.Record] = _decode(_RECORDS_DECODER, data)
    return found


def _decode(decoder: msgspec.msgpack.Decoder[Any], data: bytes | memoryview) -> Any:
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        # Elements behind the known ones are skipped recursively; strings may be no UTF-8.
        raise errors.DecodeError(f"invalid message: {error}") from error
