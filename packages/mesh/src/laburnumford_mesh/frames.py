"""Messages between nodes: one msgpack array each, with a length before it on a stream."""

import struct
from typing import Any

import msgspec

from laburnumford_mesh import record

LENGTH = struct.Struct("!I")
MAX_FRAME_BYTES = 72 * 1024 * 1024
"""A body at the largest published size, with its header fields."""


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """What a node knows of the server beside it.

    Attributes:
        server_id: the server.
        sequence: number of the report in the life of the node.
        running: requests that the server works on.
        waiting: requests that wait in the node.
        limit: requests that the node lets run at the same time.
        slowness: how long work takes now, 1.0 is as usual.
        slowness_age_s: seconds since the server said so.
        slow_for_s: seconds since it was last seen undisturbed, 0 if it is.
    """

    server_id: str
    sequence: int
    running: int
    waiting: int
    limit: int
    slowness: float
    slowness_age_s: float
    slow_for_s: float


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=0):
    """First message of both ends of a stream.

    Attributes:
        incarnation: random number of this start of the node.
        stopping: whether the node takes no more requests.
    """

    incarnation: int
    stopping: bool


class Request(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A request for the server beside the receiving node.

    Attributes:
        call_id: number of the call in the life of the sending node.
        server_id: server that alone may run it.
        method: request method.
        target: request target.
        fields: end-to-end header fields.
        body: the whole body.
        left_s: time until the deadline.
        aim_left_s: time until the answer loses worth; may be negative.
        idempotent: whether it may run more than once.
        priority: rank, 0 is the highest.
        work_key: route, by which service times are told apart.
        expects_slow: whether the sender knows that the server may be in a slow spell. If it
            does not, it is told first and may choose another server.
        offered: whether the receiver has accepted an offer of this request.
    """

    call_id: int
    server_id: str
    method: bytes
    target: bytes
    fields: list[tuple[bytes, bytes]]
    body: bytes
    left_s: float
    aim_left_s: float
    idempotent: bool
    priority: int
    work_key: str
    expects_slow: bool
    offered: bool


class Answer(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The server's answer to a request."""

    call_id: int
    status: int
    reason: bytes
    fields: list[tuple[bytes, bytes]]
    body: bytes
    work_s: float
    load: LoadReport


class Refusal(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The request did not run and never will."""

    call_id: int
    reason: str
    retry_after_s: float
    load: LoadReport


class Unknown(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """The request may have run, and no answer will come."""

    call_id: int
    reason: str
    load: LoadReport


class Cancel(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Nobody waits for the answer any more."""

    call_id: int


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Asks for a sign of life."""


class Pong(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Answers a ping."""


class Pull(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Asks for the published values that changed after a revision."""

    revision: int


class Values(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Answers a pull.

    Attributes:
        revision: revision up to which the answer is complete.
        age_s: seconds since the sender knew that the store has nothing newer.
        whole: whether these are all records there are.
        records: compressed list of records.
    """

    revision: int
    age_s: float
    whole: bool
    records: bytes


class Beacon(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Tells a peer how current the sender's published values are."""

    incarnation: int
    revision: int
    age_s: float


class Report(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """Tells callers of a server how loaded it is."""

    load: LoadReport


class Goodbye(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """The sender stops and takes no more requests."""

    server_id: str


class Offer(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """Asks whether a request would be taken, before its body is sent.

    The fields are those of the request.
    """

    call_id: int
    server_id: str
    left_s: float
    aim_left_s: float
    idempotent: bool
    priority: int
    work_key: str
    expects_slow: bool


class Acceptance(msgspec.Struct, array_like=True, frozen=True, tag=14):
    """An offered request would be taken now; a place is kept for it for a moment."""

    call_id: int
    load: LoadReport


Frame = (
    Hello
    | Request
    | Answer
    | Refusal
    | Unknown
    | Cancel
    | Ping
    | Pong
    | Pull
    | Values
    | Beacon
    | Report
    | Goodbye
    | Offer
    | Acceptance
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Frame)
_RECORDS = msgspec.msgpack.Decoder(list[record.Record])


def encode(frame: Any) -> bytes:
    """Returns a frame without its length."""
    return _ENCODER.encode(frame)


def encode_for_stream(frame: Any) -> bytes:
    """Returns a frame with its length before it."""
    encoded = _ENCODER.encode(frame)
    return LENGTH.pack(len(encoded)) + encoded


def decode(data: bytes | memoryview) -> Any:
    """Returns the frame.

    Raises:
        msgspec.MsgspecError: the bytes are no frame.
    """
    return _DECODER.decode(data)


def decode_records(data: bytes) -> list[record.Record]:
    """Returns a list of records.

    Raises:
        msgspec.MsgspecError: the bytes are no list of records.
    """
    return _RECORDS.decode(data)
