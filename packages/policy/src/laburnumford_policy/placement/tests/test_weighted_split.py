"""Tests of the weighted split."""

import hypothesis
import pytest
from hypothesis import strategies

from laburnumford_policy.placement import weighted_split


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(strategies.integers(1, 100), min_size=1, max_size=5),
    strategies.integers(0, 50),
)
def test_shares_are_exact(weights, offset):
    """Guards against a service that gets more or less than the share of its weight."""
    names = [str(index) for index in range(len(weights))]
    split = weighted_split.WeightedSplit(names, weights, offset=offset)
    rounds = 3 * sum(weights)
    chosen = [split.choose() for _ in range(rounds)]
    for name, weight in zip(names, weights, strict=True):
        assert chosen.count(name) == pytest.approx(3 * weight, abs=1)
