"""Tests of laburnumford_policy."""
