"""Fake backend server for tests."""

from laburnumford_testkit.backend import (
    answer,
    client,
    connection,
    fault,
    request,
    run,
    run_log,
    server,
    service_time,
    slots,
)

__all__ = [
    "answer",
    "client",
    "connection",
    "fault",
    "request",
    "run",
    "run_log",
    "server",
    "service_time",
    "slots",
]
