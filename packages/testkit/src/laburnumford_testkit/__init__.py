"""Fake servers, load generator, fault proxy, judge and benchmarks for laburnumford.

The subpackages are not imported here, so that the process of a fake server loads only the
modules that it needs.
"""

__all__ = [
    "backend",
    "bench",
    "caller",
    "content",
    "demo",
    "errors",
    "faultproxy",
    "judge",
    "listening",
    "platform",
    "processes",
]
