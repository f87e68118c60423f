"""Tests of laburnumford_testkit."""
