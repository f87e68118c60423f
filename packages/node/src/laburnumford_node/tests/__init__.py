"""Tests of laburnumford_node."""
