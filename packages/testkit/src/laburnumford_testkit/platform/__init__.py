"""Fake platform for tests: configuration service and VM list."""

from laburnumford_testkit.platform import app, client, mode, read_limit, store

__all__ = ["app", "client", "mode", "read_limit", "store"]
