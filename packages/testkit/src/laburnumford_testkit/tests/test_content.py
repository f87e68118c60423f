"""Tests of the bytes that are derived from a seed."""

import hypothesis
import pytest
from hypothesis import strategies

from laburnumford_testkit import content


@hypothesis.given(
    length=strategies.integers(0, 50_000),
    known=strategies.booleans(),
    chunk_sizes=strategies.lists(strategies.integers(1, 20_000), min_size=1, max_size=5),
)
def test_verifier_accepts_own_content_in_chunks_of_any_size(length, known, chunk_sizes):
    """Fails if the result depends on the boundaries of the received chunks."""
    data = content.content("a", length)
    verifier = content.Verifier(seed="a", length=length if known else None)
    position = index = 0
    while position < length:
        chunk_size = chunk_sizes[index % len(chunk_sizes)]
        verifier.feed(data[position : position + chunk_size])
        position += chunk_size
        index += 1
    assert verifier.matches


@pytest.mark.parametrize("position", [0, 199, 16383, 16384, 39_999])
def test_verifier_rejects_a_single_changed_byte(position):
    """Fails if a wrong byte goes unnoticed at any position of the content."""
    data = bytearray(content.content("a", 40_000))
    data[position] ^= 1
    verifier = content.Verifier(seed="a")
    verifier.feed(bytes(data))
    assert not verifier.matches


def test_verifier_rejects_bytes_beyond_the_length():
    """Fails if bytes after the end of a content of known length are accepted."""
    verifier = content.Verifier(seed="a", length=200)
    verifier.feed(content.content("a", 200))
    assert verifier.matches
    verifier.feed(content.content("a", 400)[200:])
    assert not verifier.matches
