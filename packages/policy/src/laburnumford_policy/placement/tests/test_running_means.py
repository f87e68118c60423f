"""Tests of running means by key."""

from laburnumford_policy.placement import running_means


def test_first_value_initializes_the_mean_of_its_key_only():
    """Guards against a mean that starts at zero, or that values of other keys change."""
    means = running_means.RunningMeans(weight=0.1)
    means.observe("a", 2.0)
    assert means.mean("a", 9.0) == 2.0
    assert means.mean("b", 9.0) == 9.0


def test_mean_follows_values():
    """Guards against a mean that keeps service times from before the servers changed."""
    means = running_means.RunningMeans(weight=0.5)
    for value in (2.0, 4.0, 4.0):
        means.observe("a", value)
    assert means.mean("a", 0.0) == 3.5
