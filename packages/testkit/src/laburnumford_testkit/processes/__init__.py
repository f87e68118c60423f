"""Real processes for tests, the demo and benchmarks."""

from laburnumford_testkit.processes import (
    addresses,
    cluster,
    measuring_log,
    node_client,
    peers,
    process,
    publisher,
)

__all__ = ["addresses", "cluster", "measuring_log", "node_client", "peers", "process", "publisher"]
