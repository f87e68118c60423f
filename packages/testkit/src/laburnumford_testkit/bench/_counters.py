"""Reads processor time, memory and control traffic of a set of nodes."""

import asyncio
import dataclasses
import time
from collections.abc import Mapping, Sequence

from laburnumford_testkit.processes import node_client, process

_BYTES_PER_MB = 1e6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Counters:
    """Counters of several nodes; every sequence has one entry per node, in the same order.

    Attributes:
        at: time of the reading, in seconds of the monotonic clock.
        cpu_s: processor time used since the start of the process.
        resident_mb: resident memory.
        control_bytes: estimated bytes of control traffic, both directions.
        control_messages: control messages sent and received.
    """

    at: float
    cpu_s: Sequence[float]
    resident_mb: Sequence[float]
    control_bytes: Sequence[int]
    control_messages: Sequence[int]

    def rates(self, earlier: "Counters", name: str) -> list[float]:
        """Returns the increase per second of the counter `name`, one value per node."""
        elapsed_s = self.at - earlier.at
        pairs = zip(getattr(earlier, name), getattr(self, name), strict=True)
        return [(after - before) / elapsed_s for before, after in pairs]


async def read(
    processes_by_name: Mapping[str, process.Process],
    clients_by_name: Mapping[str, node_client.NodeClient],
) -> Counters:
    """Reads the counters of all nodes, in the order of their sorted names."""
    names = sorted(processes_by_name)
    cpu_s = [processes_by_name[name].cpu_s() for name in names]
    at = time.monotonic()
    statuses = await asyncio.gather(*(clients_by_name[name].status() for name in names))
    control = [status["fleet"]["control"] for status in statuses]
    return Counters(
        at=at,
        cpu_s=cpu_s,
        resident_mb=[processes_by_name[name].resident_bytes() / _BYTES_PER_MB for name in names],
        control_bytes=[counted["estimated_bytes"] for counted in control],
        control_messages=[
            counted["messages_sent"] + counted["messages_received"] for counted in control
        ],
    )
