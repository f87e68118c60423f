"""Parser of the load report in the answers of backend servers."""

import dataclasses

from laburnumford_node.http import fields

_NORMAL_SLOWNESS = 100.0
"""Value in the header field that stands for normal speed; defined by the platform."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load report of a backend server.

    Attributes:
        running: number of requests that the server processes.
        waiting: number of requests in the queue of the server.
        slots: number of requests that the server processes at a time.
        slowness: current service time relative to normal speed; 2.0 means twice as long.
    """

    running: int
    waiting: int
    slots: int
    slowness: float


def parse(value: bytes) -> ServerLoad | None:
    """Returns the load report, or None if the value is invalid."""
    parts = [fields.parse_integer(part) for part in value.split(b",")[:4]]
    numbers = [part for part in parts if part is not None]
    if len(numbers) < 3 or len(numbers) < len(parts):
        return None
    running, waiting, slots = numbers[:3]
    slowness = numbers[3] / _NORMAL_SLOWNESS if len(numbers) > 3 else 1.0
    if slots < 1 or slowness <= 0:
        return None
    return ServerLoad(running, waiting, slots, slowness)
