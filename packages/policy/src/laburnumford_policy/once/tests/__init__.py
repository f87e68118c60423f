"""Tests of laburnumford_policy.once."""
