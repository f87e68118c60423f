"""Tests of `laburnumford_policy.choice`."""
