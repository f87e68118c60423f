"""Tests of derived bytes."""

import hypothesis
import pytest
from hypothesis import strategies

from laburnumford_testkit import content


@hypothesis.given(
    length=strategies.integers(0, 50_000),
    known=strategies.booleans(),
    cuts=strategies.lists(strategies.integers(1, 20_000), min_size=1, max_size=5),
)
def test_verifier_accepts_own_content_however_it_arrives(length, known, cuts):
    """Fails if the borders of received chunks matter."""
    data = content.content("a", length)
    verifier = content.Verifier(seed="a", length=length if known else None)
    position = index = 0
    while position < length:
        cut = cuts[index % len(cuts)]
        verifier.feed(data[position : position + cut])
        position += cut
        index += 1
    assert verifier.matches


@pytest.mark.parametrize("position", [0, 199, 16383, 16384, 39_999])
def test_verifier_rejects_a_single_other_byte(position):
    """Fails if a byte of another answer goes unnoticed anywhere in the content."""
    data = bytearray(content.content("a", 40_000))
    data[position] ^= 1
    verifier = content.Verifier(seed="a")
    verifier.feed(bytes(data))
    assert not verifier.matches


def test_verifier_rejects_bytes_beyond_the_length():
    """Fails if bytes that follow a content of known length pass."""
    verifier = content.Verifier(seed="a", length=200)
    verifier.feed(content.content("a", 200))
    assert verifier.matches
    verifier.feed(content.content("a", 400)[200:])
    assert not verifier.matches
