"""Real processes for tests, demo and benches."""

from laburnumford_testkit.processes import addresses, process

__all__ = ["addresses", "process"]
