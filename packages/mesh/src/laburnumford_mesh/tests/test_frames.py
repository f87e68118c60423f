"""Tests of the decoding of messages between nodes."""

import contextlib

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from laburnumford_mesh import errors, frames, gossip

NESTED_TAIL = b"\x94\x00\x01\xc2" + b"\x91" * 5000 + b"\xc0"
"""A hello with one more element, which is deeply nested."""


def _mutations(encoded):
    """Returns a strategy of encoded frames in which one byte differs."""
    return st.tuples(st.integers(0, len(encoded) - 1), st.integers(0, 255)).map(
        lambda change: encoded[: change[0]] + bytes([change[1]]) + encoded[change[0] + 1 :]
    )


ANY_BYTES = (
    st.binary(max_size=200)
    | _mutations(frames.encode(frames.Hello(2**62 - 1, False)))
    | _mutations(frames.encode(frames.Digest(1, 2, 3.0, 4, 5)))
    | _mutations(frames.encode(frames.PullResponse(1, 0.0, True, b"x")))
    | _mutations(msgspec.msgpack.encode([["servers/a", 1, b"v"]]))
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
@hypothesis.given(data=ANY_BYTES)
def test_decoding_raises_no_other_error(data):
    """Guards against an error that closes a stream without a log line."""
    for decode in (frames.decode, frames.decode_records):
        with contextlib.suppress(errors.DecodeError):
            decode(data)


def test_deeply_nested_message_is_a_decode_error():
    """Guards against a RecursionError from elements that the decoder skips."""
    with pytest.raises(errors.DecodeError):
        frames.decode(NESTED_TAIL)


def test_datagram_that_cannot_be_handled_is_logged(caplog):
    """Guards against a datagram that is lost without a log line."""

    def fail(*_):
        raise OverflowError("too large")

    receiver = gossip.Gossip(on_frame=fail)
    receiver.datagram_received(NESTED_TAIL, ("1.1.1.1", 1))
    receiver.datagram_received(frames.encode(frames.Ping()), ("1.1.1.1", 1))
    assert receiver.invalid_datagram_count == 1
    assert [record.levelname for record in caplog.records] == ["WARNING", "ERROR"]


def test_messages_of_nodes_that_know_no_eras_belong_to_the_first():
    """Guards against nodes of two versions that do not understand each other in an upgrade."""
    assert frames.decode(msgspec.msgpack.encode([10, 1, 2, 3.0, 4])) == frames.Digest(1, 2, 3.0, 4)
    assert frames.decode(msgspec.msgpack.encode([8, 7])).era == 0
    assert frames.decode(msgspec.msgpack.encode([9, 1, 0.0, True, b"x"])).era == 0
    assert frames.decode_records(msgspec.msgpack.encode([["servers/a", 1, b"v"]]))[0].era == 0


def test_load_report_without_a_capacity_is_decoded():
    """Guards against reports of nodes of the previous version that are dropped."""
    encoded = msgspec.msgpack.encode([11, ["a", 1, 0, 0, 4, 1.0, 0.0, 0.0]])
    assert frames.decode(encoded).load.capacity == 0
