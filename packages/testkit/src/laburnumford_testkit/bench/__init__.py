"""Benches: each measures real processes and prints JSON lines."""

from laburnumford_testkit.bench import bench, figure, path, policy, scale

__all__ = ["bench", "figure", "path", "policy", "scale"]
