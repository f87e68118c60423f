"""Amplification of resends along a chain of calls in which servers fail."""

import random

import pytest

from laburnumford_policy.retry import call_facts, cause, failure, proof, retry_budget, retry_policy

LEVELS = 18


class Chain:
    """Levels of servers, each of which calls the next one and then fails.

    Args:
        proofs: what the caller of each level learns about a failed attempt.
        failure_share: share of the attempts that fail at each level.
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
            call = call_facts.CallFacts(
                idempotent=True, deadline=now + 10.0, resends=resends, depth=level
            )
            fault = failure.Failure(proof=self.proofs[level], reason="server-failed")
            if not self.policies[level].check(fault, call, now).resend:
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
    """Returns the attempts at the deepest level per call at the top."""
    chain = Chain(proofs, failure_share, seed)
    for number in range(calls):
        chain.call(0, 0, number / calls_per_s)
    return chain.attempts[-1] / calls


@pytest.mark.parametrize("calls_per_s", [2.0, 150.0])
@pytest.mark.parametrize("failure_share", [0.01, 0.1, 1.0])
@pytest.mark.parametrize("last", [proof.Proof.UNKNOWN, proof.Proof.REFUSED])
def test_chain_of_18_levels_amplifies_to_at_most_1_2(calls_per_s, failure_share, last):
    """Fails if the resends of the levels multiply when every server fails after its call."""
    proofs = [proof.Proof.UNKNOWN] * (LEVELS - 1) + [last]
    measured = amplification(proofs, failure_share, calls_per_s)
    assert 1.0 <= measured <= 1.2


def test_chain_of_one_level_uses_most_of_its_share():
    """Fails if the bound for 18 levels takes the retries of a plain refusal."""
    assert 1.09 <= amplification([proof.Proof.REFUSED]) <= 1.11


def test_ordinary_refusals_are_nearly_all_sent_again():
    """Fails if the budget denies the resends of a service of which one call in 50 is refused."""
    chain = Chain([proof.Proof.REFUSED], 0.02, 1)
    for number in range(6000):
        chain.call(0, 0, number / 150.0)
    budget = chain.budgets[0]
    assert budget.admitted_by_cause[cause.Cause.RETRY] > 100
    assert budget.denied_by_cause[cause.Cause.RETRY] == 0


@pytest.mark.parametrize("share", [0.0, 0.05, 0.1, 0.15, 0.2])
def test_deep_share_keeps_the_bound_for_other_shares(share):
    """Fails if a published share up to 0.12 breaks the bound by itself, or it goes negative."""
    deep = retry_budget.deep_share(share)
    product = (1 + share) * (1 + share / 2) * (1 + deep) ** (LEVELS - 2)
    assert deep >= 0.0
    assert product <= 1.2 or share > 0.12
