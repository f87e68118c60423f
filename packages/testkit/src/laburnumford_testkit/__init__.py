"""Stand-ins, load, fault proxy, judge and benches of laburnumford."""

from laburnumford_testkit import (
    backend,
    caller,
    content,
    errors,
    faultproxy,
    judge,
    listening,
    platform,
    processes,
)

__all__ = [
    "backend",
    "caller",
    "content",
    "errors",
    "faultproxy",
    "judge",
    "listening",
    "platform",
    "processes",
]
