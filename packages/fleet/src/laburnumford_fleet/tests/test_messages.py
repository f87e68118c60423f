"""Tests of the control messages."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from laburnumford_fleet import errors, messages

_KINDS = [messages.Announce, messages.Exchange, messages.Fetch, messages.Changes]
_EXCHANGE = messages.Exchange(
    "server-1",
    2**64 - 1,
    1000,
    7,
    bytes(32),
    False,
    (messages.Sample(2**64 - 1, 7, 5),),
    (messages.Report("server-2", 3, 1, 9, 9),),
)


def test_round_trip():
    """Guards against a field that encoding or decoding loses, with the largest incarnation."""
    assert messages.decode(messages.Exchange, messages.encode(_EXCHANGE)) == _EXCHANGE


@pytest.mark.parametrize(
    "fields",
    [
        ["", 1, 1, 1, bytes(32), False],
        ["x" * 129, 1, 1, 1, bytes(32), False],
        ["x", -1, 1, 1, bytes(32), False],
        ["x", 1, 1, 1, bytes(31), False],
        ["x", 1, 1, "1", bytes(32), False],
        ["x", 1, 1, 1, bytes(32), False, [[1, 1, 1]] * 33],
        ["x", 1, 1, 1, bytes(32), False, [], [["y", 1, 4, 0, 0]]],
        ["x", 1, 1, 1, bytes(32), False, [], [], 5],
        ["x", 1],
        {"node": "x"},
    ],
)
def test_out_of_range_fields_are_rejected(fields):
    """Guards against malicious values that reach the membership view or the version store."""
    with pytest.raises(errors.MessageError, match="Exchange"):
        messages.decode(messages.Exchange, msgspec.msgpack.encode(fields))


def test_oversized_message_is_rejected():
    """Guards against a message that takes memory for decoding before it is rejected."""
    with pytest.raises(errors.MessageError, match="allowed 8192"):
        messages.decode(messages.Exchange, bytes(8193))


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    kind=strategies.sampled_from(_KINDS),
    noise=strategies.binary(max_size=80),
    at=strategies.integers(0, 80),
)
def test_malformed_bytes_raise_only_message_errors(kind, noise, at):
    """Guards against bytes that end a task with an error of the decoder."""
    valid = messages.encode(_EXCHANGE)
    for data in (noise, valid[:at] + noise + valid[at:], b"\x91" * 5000 + noise):
        try:
            messages.decode(kind, data)
        except errors.MessageError:
            continue
