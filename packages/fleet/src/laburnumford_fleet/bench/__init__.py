"""Benchmark of the package: ``python -m laburnumford_fleet.bench``."""
