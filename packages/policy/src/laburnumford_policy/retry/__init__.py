"""Retries and hedges of calls, and the retry budget that bounds them."""

from laburnumford_policy.retry import (
    call_properties,
    cause,
    decision,
    failure,
    hedge_policy,
    proof,
    retry_budget,
    retry_policy,
)

__all__ = [
    "call_properties",
    "cause",
    "decision",
    "failure",
    "hedge_policy",
    "proof",
    "retry_budget",
    "retry_policy",
]
