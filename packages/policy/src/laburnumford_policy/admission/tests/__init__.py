"""Tests of `laburnumford_policy.admission`."""
