"""Real processes for tests, demo and benches."""

from laburnumford_testkit.processes import (
    addresses,
    cluster,
    node_client,
    peers,
    process,
    publisher,
)

__all__ = ["addresses", "cluster", "node_client", "peers", "process", "publisher"]
