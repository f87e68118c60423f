"""Load balancing decisions of laburnumford."""

from laburnumford_policy import choice, measuring

__all__ = ["choice", "measuring"]
