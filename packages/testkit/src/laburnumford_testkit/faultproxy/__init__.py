"""TCP proxy that injects network faults between two processes."""

from laburnumford_testkit.faultproxy import client, faults, proxy

__all__ = ["client", "faults", "proxy"]
