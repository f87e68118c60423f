"""Tests of laburnumford_objects."""
