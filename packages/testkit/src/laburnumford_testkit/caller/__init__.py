"""Callers: single calls and open-loop load."""

from laburnumford_testkit.caller import (
    call,
    caller,
    connection,
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
    "exchange",
    "load",
    "pool",
    "record",
    "summary",
]
