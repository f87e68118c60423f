"""Stand-ins, load, fault proxy, judge and benches of laburnumford.

The packages are not imported here, so that a stand-in process loads only what
it needs.
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
