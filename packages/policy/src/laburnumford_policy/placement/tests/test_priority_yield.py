"""Tests of the order of priorities under overload.

Load pattern: a class of high priority and many requests whose answers are due sooner than those of
a class of low priority. Each request of the first class finds the queue too long, and the second
class takes the slots that become free.
"""

import pytest

from laburnumford_policy.placement import served_ratios


@pytest.fixture
def ratios():
    """Returns counts without requests."""
    return served_ratios.ServedRatios()


def play(ratios, request_class, priority, *, requests, accepted):
    """Counts requests of a class, each with another deadline, and accepts a number of them."""
    for index in range(requests):
        ratios.observe_arrival(request_class, priority, 1.0 + index, 0.0)
        if index < accepted:
            ratios.observe_accepted(request_class, 0.0)


def test_class_served_better_than_a_higher_priority_yields(ratios):
    """Guards against a class of lower priority that is served better under overload."""
    play(ratios, "urgent", 0, requests=20, accepted=10)
    play(ratios, "other", 1, requests=20, accepted=15)
    assert ratios.must_yield("other", 1)
    assert not ratios.must_yield("urgent", 0)


def test_class_yields_only_down_to_the_ratio_of_the_higher_priority(ratios):
    """Guards against strict priorities, under which the lower class would starve."""
    play(ratios, "urgent", 0, requests=20, accepted=10)
    play(ratios, "other", 1, requests=20, accepted=10)
    assert not ratios.must_yield("other", 1)


def test_starving_class_does_not_yield(ratios):
    """Guards against a class that yields although it is served a quarter as often as all."""
    play(ratios, "urgent", 0, requests=50, accepted=0)
    play(ratios, "middle", 1, requests=500, accepted=500)
    play(ratios, "other", 2, requests=20, accepted=1)
    assert not ratios.must_yield("other", 2)


def test_few_requests_of_the_higher_priority_prove_nothing(ratios):
    """Guards against a class that yields because of a single refusal."""
    play(ratios, "urgent", 0, requests=2, accepted=0)
    play(ratios, "other", 1, requests=20, accepted=20)
    assert not ratios.must_yield("other", 1)


def test_unknown_class_does_not_yield(ratios):
    """Guards against an error for the first request of a class."""
    assert not ratios.must_yield("other", 1)
