"""Benches: each measures one aspect of the system and prints its figures as JSON lines."""

from laburnumford_testkit.bench import bench, figure, path, policy, scale

__all__ = ["bench", "figure", "path", "policy", "scale"]
