"""Tests of laburnumford_policy.placement."""
