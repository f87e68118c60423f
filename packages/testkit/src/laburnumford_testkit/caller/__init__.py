"""Test callers: single calls and open-loop load."""

from laburnumford_testkit.caller import (
    call,
    caller,
    connection,
    doubling,
    exchange,
    load,
    pool,
    record,
    summary,
)

__all__ = [
    "call",
    "caller",
    "connection",
    "doubling",
    "exchange",
    "load",
    "pool",
    "record",
    "summary",
]
