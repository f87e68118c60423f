"""Tests of laburnumford_client."""
