"""Tests of the amplification of calls by resends along a chain of nested calls."""

import random

import pytest

from laburnumford_policy.retry import (
    call_properties,
    cause,
    failure,
    proof,
    retry_budget,
    retry_policy,
)

LEVELS = 18


class Chain:
    """Simulates a chain of servers, each of which calls the next one and then may fail.

    Args:
        proofs: proof that the caller of each level gets for a failed attempt.
        failure_share: share of the attempts that fail at each level.
        seed: seed of the random generator.
    """

    def __init__(self, proofs, failure_share, seed):
        self.proofs = proofs
        self.failure_share = failure_share
        self.random = random.Random(seed)
        self.budgets = [retry_budget.RetryBudget() for _ in proofs]
        self.policies = [
            retry_policy.RetryPolicy(budget=budget, generator=self.random)
            for budget in self.budgets
        ]
        self.attempts = [0] * len(proofs)

    def call(self, level, resends, now):
        """Makes one call at a level, with its resends."""
        self.budgets[level].observe_call(now)
        while not self.attempt(level, resends, now):
            call = call_properties.CallProperties(
                idempotent=True, deadline=now + 10.0, resends=resends, depth=level
            )
            failed_attempt = failure.Failure(proof=self.proofs[level], reason="server-failed")
            if not self.policies[level].check(failed_attempt, call, now).resend:
                return
            resends += 1

    def attempt(self, level, resends, now):
        """Makes one attempt and returns whether it was answered."""
        self.attempts[level] += 1
        failed = self.random.random() < self.failure_share
        ran = not failed or self.proofs[level] is proof.Proof.UNKNOWN
        if ran and level + 1 < len(self.proofs):
            self.call(level + 1, resends, now)
        return not failed


def amplification(proofs, failure_share=1.0, calls_per_s=150.0, calls=6000, seed=1):
    """Returns the number of attempts at the deepest level per call at the first level."""
    chain = Chain(proofs, failure_share, seed)
    for number in range(calls):
        chain.call(0, 0, number / calls_per_s)
    return chain.attempts[-1] / calls


@pytest.mark.parametrize("calls_per_s", [2.0, 150.0])
@pytest.mark.parametrize("failure_share", [0.01, 0.1, 1.0])
@pytest.mark.parametrize("last", [proof.Proof.UNKNOWN, proof.Proof.REFUSED])
def test_chain_of_18_levels_amplifies_to_at_most_1_2(calls_per_s, failure_share, last):
    """Fails if resends multiply over the levels when servers fail after their nested call."""
    proofs = [proof.Proof.UNKNOWN] * (LEVELS - 1) + [last]
    measured = amplification(proofs, failure_share, calls_per_s)
    assert 1.0 <= measured <= 1.2


def test_chain_of_one_level_uses_most_of_its_share():
    """Fails if the bound for 18 levels also reduces resends of calls that were refused."""
    assert 1.09 <= amplification([proof.Proof.REFUSED]) <= 1.11


def test_budget_covers_all_resends_at_two_percent_refusals():
    """Fails if the budget denies resends to a service that refuses one call in 50."""
    chain = Chain([proof.Proof.REFUSED], 0.02, 1)
    for number in range(6000):
        chain.call(0, 0, number / 150.0)
    budget = chain.budgets[0]
    assert budget.admitted_by_cause[cause.Cause.RETRY] > 100
    assert budget.denied_by_cause[cause.Cause.RETRY] == 0


@pytest.mark.parametrize("share", [0.0, 0.05, 0.1, 0.15, 0.2])
def test_nested_repeat_share_keeps_the_bound_for_other_shares(share):
    """Fails if the bound is exceeded at a share up to 0.12 or the nested share is negative."""
    nested_share = retry_budget.nested_repeat_share(share)
    product = (1 + share) * (1 + share / 2) * (1 + nested_share) ** (LEVELS - 2)
    assert nested_share >= 0.0
    assert product <= 1.2 or share > 0.12
