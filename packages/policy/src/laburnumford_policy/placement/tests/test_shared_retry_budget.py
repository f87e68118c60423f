"""Tests of the retry budget that nodes share."""

import hypothesis
from hypothesis import strategies

from laburnumford_policy.placement import shared_retry_budget

RATIO = 0.2
SLACK = 64.0
WINDOW_S = 10.0


def _make(nodes=1):
    budget = shared_retry_budget.SharedRetryBudget(ratio=RATIO, slack=SLACK, window_s=WINDOW_S)
    budget.set_node_count(nodes)
    return budget


@hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.floats(0, 0.5), strategies.booleans()), max_size=300
    ),
    strategies.integers(1, 20),
)
def test_sum_over_nodes_stays_within_the_common_bound(steps, nodes):
    """Guards against nodes that together retry more than the platform allows."""
    budgets = [_make(nodes) for _ in range(nodes)]
    now = 0.0
    requests = []
    retries = []
    for gap_s, retry in steps:
        now += gap_s
        for budget in budgets:
            if retry:
                retries.extend([now] if budget.take(now) else [])
            else:
                budget.observe_request(now)
                requests.append(now)
        begin = now - WINDOW_S
        in_window = sum(at > begin for at in retries)
        assert in_window <= RATIO * sum(at > begin for at in requests) + SLACK


def test_retries_are_allowed_again_after_the_window():
    """Guards against a budget that stays empty after a burst."""
    budget = _make()
    while budget.take(0.0):
        pass
    assert not budget.take(5.0)
    assert budget.take(WINDOW_S + 1.0)


def test_slack_is_divided_among_nodes():
    """Guards against each of many nodes using the whole slack."""
    single = sum(_make(1).take(0.0) for _ in range(1))
    many = _make(64)
    assert single == 1
    assert sum(many.take(0.0) for _ in range(10)) == 0


@hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
@hypothesis.given(
    strategies.integers(0, 3000), strategies.integers(0, 3000), strategies.integers(1, 20)
)
def test_calls_of_repeated_runs_fit_into_the_bound_of_the_called_service(
    calling_requests, own_requests, nodes
):
    """Guards against a called service that gets more repeats than the platform allows.

    Load pattern: a service fails part of its requests, and so do the requests of another service
    that call it once each. The nodes retry both, and a run that is repeated makes its call again.
    On a randomised benchmark day 791 arrivals were repeats; 724 were allowed.
    """
    calling = [_make(nodes) for _ in range(nodes)]
    called = [_make(nodes) for _ in range(nodes)]
    for index in range(calling_requests):
        calling[index % nodes].observe_request(0.0)
        called[index % nodes].observe_request(0.0)
    for index in range(own_requests):
        called[index % nodes].observe_request(0.0)
    repeats = 0
    for budget in (*calling, *called):
        while budget.take(0.0):
            repeats += 1
    assert repeats <= RATIO * (calling_requests + own_requests) + SLACK
