"""Tests of `RetryBudget`, `RetryPolicy` and `HedgePolicy`."""

import random

import pytest

from laburnumford_policy.retry import (
    call_properties,
    cause,
    failure,
    hedge_policy,
    proof,
    retry_budget,
    retry_policy,
)

RETRY, HEDGE, REDIRECT = cause.Cause.RETRY, cause.Cause.HEDGE, cause.Cause.REDIRECT


@pytest.fixture
def budget():
    """Returns a budget whose buckets are full."""
    full_budget = retry_budget.RetryBudget()
    for _ in range(10_000):
        full_budget.observe_call(0.0)
    return full_budget


@pytest.fixture
def policy(budget):
    """Returns a policy with a seeded generator."""
    return retry_policy.RetryPolicy(budget=budget, generator=random.Random(7))


def make_call(idempotent=True, deadline=10.0, resends=0, depth=0):
    """Returns properties of a call, by default of an idempotent one from outside."""
    return call_properties.CallProperties(
        idempotent=idempotent, deadline=deadline, resends=resends, depth=depth
    )


def make_failure(kind=proof.Proof.NOT_WRITTEN, reason="no-server", levels_below=0):
    """Returns a failed attempt, by default one that was not written."""
    return failure.Failure(proof=kind, reason=reason, levels_below=levels_below)


def test_all_causes_share_one_budget():
    """Fails if hedges or redirects have a budget of their own in addition to that of retries."""
    budget = retry_budget.RetryBudget(share=0.1, minimum_per_s=0.0)
    for _ in range(40):
        budget.observe_call(0.0)
    admitted = [budget.admit(kind, 0.0) for kind in (RETRY, HEDGE, REDIRECT) * 3]
    assert sum(admitted) == 5  # 40 calls with 0.1 tokens each and the initial token.
    assert sum(budget.admitted_by_cause.values()) == 5
    assert sum(budget.denied_by_cause.values()) == 4


def test_service_with_few_calls_gets_the_minimum_rate_up_to_the_burst():
    """Fails if a service with few calls can never retry or saves more tokens than the burst."""
    budget = retry_budget.RetryBudget(share=0.1, minimum_per_s=0.5, burst=3.0)
    budget.observe_call(0.0)
    assert sum(budget.admit(RETRY, 1000.0) for _ in range(10)) == 3
    assert sum(budget.admit(RETRY, 1002.0) for _ in range(10)) == 1


def test_share_of_zero_allows_nothing():
    """Fails if a share of 0 still allows resends at the minimum rate."""
    assert not retry_budget.RetryBudget(share=0.0).admit(RETRY, 0.0)


@pytest.mark.parametrize(
    ("failed_attempt", "call", "reason"),
    [
        (make_failure(proof.Proof.UNKNOWN), make_call(idempotent=False), "not-idempotent"),
        (make_failure(), make_call(resends=2), "max-resends"),
        (make_failure(proof.Proof.REFUSED, "overloaded", 1), make_call(), "overloaded-below"),
        (make_failure(), make_call(deadline=0.0), "deadline"),
    ],
)
def test_does_not_resend(policy, budget, failed_attempt, call, reason):
    """Fails if a call is resent against a rule, or a denied resend takes a token."""
    assert policy.check(failed_attempt, call, 0.0).reason == reason
    assert sum(budget.admitted_by_cause.values()) == 0


@pytest.mark.parametrize("kind", [proof.Proof.NOT_WRITTEN, proof.Proof.REFUSED])
def test_resends_a_non_idempotent_call_with_proof(policy, kind):
    """Fails if a non-idempotent call is not resent although it is proven not to have run."""
    assert policy.check(make_failure(kind), make_call(idempotent=False), 0.0).resend


def test_delay_has_jitter_grows_and_ends_before_the_deadline():
    """Fails if resends are synchronised or sent after the deadline."""
    budget = retry_budget.RetryBudget(share=1.0, burst=1000.0)
    for _ in range(1000):
        budget.observe_call(0.0)
    policy = retry_policy.RetryPolicy(budget=budget, generator=random.Random(7))
    first = [policy.check(make_failure(), make_call(), 0.0).delay_s for _ in range(200)]
    second = [policy.check(make_failure(), make_call(resends=1), 0.0).delay_s for _ in range(200)]
    assert 0.0 <= min(first) < 0.001
    assert 0.004 < max(first) <= 0.005 < max(second) <= 0.010
    late = [policy.check(make_failure(), make_call(deadline=0.002), 0.0) for _ in range(200)]
    assert all(decision.delay_s < 0.002 for decision in late)


@pytest.mark.parametrize(
    ("call", "elapsed_s", "spare", "reason"),
    [
        (make_call(idempotent=False), 1.0, True, "not-idempotent"),
        (make_call(), 0.1, True, "too-early"),
        (make_call(), 1.0, False, "no-spare-capacity"),
        (make_call(resends=2), 1.0, True, "max-resends"),
    ],
)
def test_does_not_hedge(budget, call, elapsed_s, spare, reason):
    """Fails if a non-idempotent call is hedged or a hedge adds load to busy servers."""
    hedges = hedge_policy.HedgePolicy(budget=budget)
    assert hedges.check(call, elapsed_s, 0.2, spare, 0.0).reason == reason


def test_hedges_only_within_the_budget(budget):
    """Fails if hedges are not bounded by the budget."""
    hedges = hedge_policy.HedgePolicy(budget=budget)
    assert sum(hedges.check(make_call(), 1.0, 0.2, True, 0.0).resend for _ in range(50)) == 10
    assert budget.admitted_by_cause[HEDGE] == 10
