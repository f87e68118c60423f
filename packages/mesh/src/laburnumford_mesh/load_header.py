"""The load report that backend servers put on their answers."""

import dataclasses

_USUAL = 100.0
"""The figure that means as usual, from the platform."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """What a server says about itself.

    Attributes:
        running: requests that it works on.
        waiting: requests in its own queue.
        slots: requests that it runs at the same time.
        slowness: how long work takes on its VM now, 1.0 is as usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float


def parse(value: bytes) -> ServerLoad | None:
    """Returns the report, or None if it cannot be read."""
    parts = value.split(b",")
    if len(parts) < 3 or not all(part.strip().isdigit() for part in parts[:4]):
        return None
    running, waiting, slots = (int(part) for part in parts[:3])
    slowness = int(parts[3]) / _USUAL if len(parts) > 3 else 1.0
    if slots < 1 or slowness <= 0:
        return None
    return ServerLoad(running, waiting, slots, slowness)
