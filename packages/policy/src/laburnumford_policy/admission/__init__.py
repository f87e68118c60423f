"""Admission of requests to the backend server adjacent to the node."""

from laburnumford_policy.admission import (
    admission,
    aimd_limiter,
    changes,
    decision,
    entry,
    fixed_limiter,
    gradient_limiter,
    limiter,
    outcome,
    parameters,
    priority,
    probing_gradient_limiter,
)

__all__ = [
    "admission",
    "aimd_limiter",
    "changes",
    "decision",
    "entry",
    "fixed_limiter",
    "gradient_limiter",
    "limiter",
    "outcome",
    "parameters",
    "priority",
    "probing_gradient_limiter",
]
