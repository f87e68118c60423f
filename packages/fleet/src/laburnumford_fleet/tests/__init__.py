"""Tests of laburnumford_fleet."""
