"""Retries, hedges and their budget."""

from laburnumford_policy.retry import (
    call_facts,
    cause,
    decision,
    failure,
    hedge_policy,
    proof,
    retry_budget,
    retry_policy,
)

__all__ = [
    "call_facts",
    "cause",
    "decision",
    "failure",
    "hedge_policy",
    "proof",
    "retry_budget",
    "retry_policy",
]
