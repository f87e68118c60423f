"""Tests of `laburnumford_policy.retry`."""
