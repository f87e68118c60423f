"""Tests of laburnumford_policy.measuring."""
