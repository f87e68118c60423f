"""Tests of the measuring budget."""

import math

import hypothesis
import pytest
from hypothesis import strategies

from laburnumford_policy import measuring

_costs = strategies.builds(
    measuring.Cost,
    calls=strategies.integers(0, 3),
    bytes=strategies.integers(0, 500),
    cpu_ms=strategies.floats(0, 2),
)
_attempts = strategies.lists(
    strategies.tuples(strategies.sampled_from((0.0, 0.001, 0.03, 0.2, 0.5, 1.0, 7.0)), _costs),
    max_size=80,
)


def create(calls=8.0, size=1000.0, cpu_ms=4.0, **parameters):
    """Returns a budget with the given rates per second."""
    return measuring.MeasuringBudget(
        calls_per_s=calls, bytes_per_s=size, cpu_ms_per_s=cpu_ms, **parameters
    )


def admitted(budget, attempts):
    """Returns time and cost of each admitted attempt."""
    taken = []
    now = 100.0
    for wait, cost in attempts:
        now += wait
        if budget.admit(cost, now):
            taken.append((now, cost))
    return taken


def busiest_second(taken, field):
    """Returns the largest sum of one resource over any second."""
    return max(
        (
            sum(getattr(cost, field) for time, cost in taken if start <= time < start + 1.0)
            for start, _ in taken
        ),
        default=0.0,
    )


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    attempts=_attempts,
    calls=strategies.sampled_from((0.0, 0.2, 1.0, 2.5, 8.0)),
    size=strategies.sampled_from((0.0, 300.0, 2000.0)),
    cpu_ms=strategies.sampled_from((0.0, 0.5, 8.0)),
    burst_share=strategies.sampled_from((0.1, 0.25, 0.9)),
)
def test_cost_of_any_second_stays_within_the_rates(attempts, calls, size, cpu_ms, burst_share):
    """Guards against bursts above the budget, also after an idle period."""
    budget = create(calls, size, cpu_ms, burst_share=burst_share)
    taken = admitted(budget, attempts)
    assert busiest_second(taken, "calls") <= math.ceil(calls)
    assert busiest_second(taken, "bytes") <= size + 1e-6
    assert busiest_second(taken, "cpu_ms") <= cpu_ms + 1e-6


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(attempts=_attempts)
def test_refused_cost_is_not_charged(attempts):
    """Guards against refused attempts that use up the budget without any probe.

    Such attempts are frequent while no server answers.
    """
    budget = create()
    reference = create()
    now = 100.0
    for wait, cost in attempts:
        now += wait
        if budget.admit(cost, now):
            assert reference.admit(cost, now)
        else:
            reference.refill(now)


@pytest.mark.parametrize("rate", [0.5, 1.0, 8.0])
def test_continuous_demand_gets_most_of_the_rate(rate):
    """Guards against a bound that leaves most of the budget unused."""
    budget = create(calls=rate)
    attempts = [(0.01, measuring.Cost(calls=1))] * 10_000
    assert 0.7 * rate * 100 <= len(admitted(budget, attempts)) <= rate * 100


def test_restarts_grant_no_extra_calls():
    """Guards against a restart loop in which each start spends a full burst."""
    cost = measuring.Cost(calls=1)
    grants = sum(create().admit(cost, float(start)) for start in range(100))
    assert grants == 0


def test_clock_that_goes_backwards_refills_nothing():
    """Guards against tokens for time that has not passed."""
    budget = create(calls=1.0)
    cost = measuring.Cost(calls=1)
    budget.admit(cost, 10.0)
    assert budget.admit(cost, 11.0)
    assert not any(budget.admit(cost, now) for now in (5.0, 11.0, 6.0, 11.5))
    assert budget.admit(cost, 12.0)


def test_observed_overrun_delays_later_probes():
    """Guards against exceeding the budget by probes that cost more than estimated."""
    budget = create()
    cost = measuring.Cost(calls=1, bytes=100)
    budget.admit(cost, 0.0)
    assert budget.admit(cost, 1.0)
    budget.observe(measuring.Cost(calls=0, bytes=2000), 1.0)
    assert not budget.admit(cost, 3.0)
    assert budget.admit(cost, 4.0)


def test_share_used_is_the_largest_of_the_rates():
    """Guards against a metric that does not show the resource that is used up."""
    budget = create()
    assert budget.share_used(0.0) == 0.0
    budget.admit(measuring.Cost(calls=0), 0.0)
    for second in range(1, 11):
        assert budget.admit(measuring.Cost(calls=1, bytes=250), float(second))
    assert budget.share_used(10.5) == pytest.approx(0.25)
    assert budget.share_used(30.0) == 0.0


def test_invalid_values_are_rejected():
    """Guards against a negative cost, which would refill the budget, and a rate that is NaN."""
    with pytest.raises(measuring.MeasuringParameterError, match="bytes is -1; allowed"):
        measuring.Cost(bytes=-1)
    with pytest.raises(measuring.MeasuringParameterError, match="calls_per_s is nan; allowed"):
        create(calls=math.nan)
