"""Tests of RetryBudget, RetryPolicy and HedgePolicy."""

import random

import pytest

from laburnumford_policy.retry import (
    call_facts,
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
    """Returns a budget that has saved up its burst."""
    rich = retry_budget.RetryBudget()
    for _ in range(10_000):
        rich.observe_call(0.0)
    return rich


@pytest.fixture
def policy(budget):
    """Returns a policy with a seeded generator."""
    return retry_policy.RetryPolicy(budget=budget, generator=random.Random(7))


def facts(idempotent=True, deadline=10.0, resends=0, depth=0):
    """Returns facts about an idempotent call from outside, unless stated otherwise."""
    return call_facts.CallFacts(
        idempotent=idempotent, deadline=deadline, resends=resends, depth=depth
    )


def failed(kind=proof.Proof.NOT_WRITTEN, reason="no-server", levels_below=0):
    """Returns a failure that did not run, unless stated otherwise."""
    return failure.Failure(proof=kind, reason=reason, levels_below=levels_below)


def test_all_causes_share_one_budget():
    """Fails if hedges or redirects add to the retries instead of sharing their budget."""
    budget = retry_budget.RetryBudget(share=0.1, minimum_per_s=0.0)
    for _ in range(40):
        budget.observe_call(0.0)
    admitted = [budget.admit(kind, 0.0) for kind in (RETRY, HEDGE, REDIRECT) * 3]
    assert sum(admitted) == 5  # 40 calls at a tenth, and the token held at start
    assert sum(budget.admitted_by_cause.values()) == 5
    assert sum(budget.denied_by_cause.values()) == 4


def test_quiet_service_may_retry_at_the_minimum_rate_but_saves_up_to_the_burst():
    """Fails if a quiet service can never retry, or releases hours of tokens at once."""
    budget = retry_budget.RetryBudget(share=0.1, minimum_per_s=0.5, burst=3.0)
    budget.observe_call(0.0)
    assert sum(budget.admit(RETRY, 1000.0) for _ in range(10)) == 3
    assert sum(budget.admit(RETRY, 1002.0) for _ in range(10)) == 1


def test_share_of_zero_allows_nothing():
    """Fails if a policy without retries still resends at the minimum rate."""
    assert not retry_budget.RetryBudget(share=0.0).admit(RETRY, 0.0)


@pytest.mark.parametrize(
    ("fault", "call", "reason"),
    [
        (failed(proof.Proof.UNKNOWN), facts(idempotent=False), "not-idempotent"),
        (failed(), facts(resends=2), "max-resends"),
        (failed(proof.Proof.REFUSED, "overloaded", 1), facts(), "overloaded-below"),
        (failed(), facts(deadline=0.0), "deadline"),
    ],
)
def test_does_not_resend(policy, budget, fault, call, reason):
    """Fails if a resend breaks a rule, or a refused resend takes a token."""
    assert policy.check(fault, call, 0.0).reason == reason
    assert sum(budget.admitted_by_cause.values()) == 0


@pytest.mark.parametrize("kind", [proof.Proof.NOT_WRITTEN, proof.Proof.REFUSED])
def test_resends_a_booking_only_with_proof(policy, kind):
    """Fails if proof that a booking did not run is not used."""
    assert policy.check(failed(kind), facts(idempotent=False), 0.0).resend


def test_delay_is_jittered_grows_and_ends_before_the_deadline():
    """Fails if resends are synchronised or go past the deadline."""
    budget = retry_budget.RetryBudget(share=1.0, burst=1000.0)
    for _ in range(1000):
        budget.observe_call(0.0)
    policy = retry_policy.RetryPolicy(budget=budget, generator=random.Random(7))
    first = [policy.check(failed(), facts(), 0.0).delay_s for _ in range(200)]
    second = [policy.check(failed(), facts(resends=1), 0.0).delay_s for _ in range(200)]
    assert 0.0 <= min(first) < 0.001
    assert 0.004 < max(first) <= 0.005 < max(second) <= 0.010
    late = [policy.check(failed(), facts(deadline=0.002), 0.0) for _ in range(200)]
    assert all(decision.delay_s < 0.002 for decision in late)


@pytest.mark.parametrize(
    ("call", "elapsed_s", "spare", "reason"),
    [
        (facts(idempotent=False), 1.0, True, "not-idempotent"),
        (facts(), 0.1, True, "too-early"),
        (facts(), 1.0, False, "no-spare-capacity"),
        (facts(resends=2), 1.0, True, "max-resends"),
    ],
)
def test_does_not_hedge(budget, call, elapsed_s, spare, reason):
    """Fails if a hedge repeats a booking or adds load to busy servers."""
    hedges = hedge_policy.HedgePolicy(budget=budget)
    assert hedges.check(call, elapsed_s, 0.2, spare, 0.0).reason == reason


def test_hedges_inside_the_budget_only(budget):
    """Fails if hedges are not bounded by the budget."""
    hedges = hedge_policy.HedgePolicy(budget=budget)
    assert sum(hedges.check(facts(), 1.0, 0.2, True, 0.0).resend for _ in range(50)) == 10
    assert budget.admitted_by_cause[HEDGE] == 10
