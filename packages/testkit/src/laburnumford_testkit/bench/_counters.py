"""Counters of a set of nodes at one time."""

import asyncio
import dataclasses
import time
from collections.abc import Mapping, Sequence

from laburnumford_testkit.processes import node_client, process

_MB = 1e6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Counters:
    """Counters of each node, in the same order, at a time of the monotonic clock in seconds."""

    at: float
    cpu_s: Sequence[float]
    resident_mb: Sequence[float]
    control_bytes: Sequence[int]
    control_messages: Sequence[int]

    def rates(self, earlier: "Counters", name: str) -> list[float]:
        """Returns the increase of a counter of each node per second."""
        elapsed_s = self.at - earlier.at
        pairs = zip(getattr(earlier, name), getattr(self, name), strict=True)
        return [(after - before) / elapsed_s for before, after in pairs]


async def read(
    processes_by_name: Mapping[str, process.Process],
    clients_by_name: Mapping[str, node_client.NodeClient],
) -> Counters:
    """Reads the counters of all nodes."""
    names = sorted(processes_by_name)
    cpu_s = [processes_by_name[name].cpu_s() for name in names]
    at = time.monotonic()
    states = await asyncio.gather(*(clients_by_name[name].status() for name in names))
    control = [state["fleet"]["control"] for state in states]
    return Counters(
        at=at,
        cpu_s=cpu_s,
        resident_mb=[processes_by_name[name].resident_bytes() / _MB for name in names],
        control_bytes=[one["estimated_bytes"] for one in control],
        control_messages=[one["messages_sent"] + one["messages_received"] for one in control],
    )
