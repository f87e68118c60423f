"""What a set of nodes cost, at rest and per change."""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence

from laburnumford_testkit.bench import _counters, _in_force
from laburnumford_testkit.processes import node_client, process

_CHANGE_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measured:
    """Means over the nodes, and the delays until changes were in force.

    Processor time is in percent of a core at rest and in ms per change; traffic counts both
    directions, with the protocol overhead that `laburnumford_fleet.meter` estimates.
    """

    core_percent: float
    rss_mb: float
    rss_max_mb: float
    bytes_per_s: float
    bytes_max_per_s: float
    messages_per_s: float
    change_cpu_ms: float
    change_bytes: float
    change_messages: float
    delays_s: tuple[float, ...]
    rest_started: float
    rest_ended: float


async def measure(
    *,
    processes_by_name: Mapping[str, process.Process],
    clients_by_name: Mapping[str, node_client.NodeClient],
    publish: Callable[[], Awaitable[int]],
    rest_s: float,
    changes: int,
) -> Measured:
    """Measures running nodes, first at rest, then while versions are published."""

    async def read() -> _counters.Counters:
        return await _counters.read(processes_by_name, clients_by_name)

    first = await read()
    await asyncio.sleep(rest_s)
    rested = await read()
    delays: list[float] = []
    for _ in range(changes):
        version = await publish()
        # The platform has accepted the version once the head, its last value, is written.
        accepted_wall_s = time.time()
        delays += await _in_force.delays_s(processes_by_name.values(), version, accepted_wall_s)
        await asyncio.sleep(_CHANGE_INTERVAL_S)
    changed = await read()
    seconds_per_change = (changed.at - rested.at) / changes

    def added(name: str) -> float:
        """Returns the mean increase per change above the rate at rest."""
        rate = _mean(changed.rates(rested, name)) - _mean(rested.rates(first, name))
        return rate * seconds_per_change

    byte_rates = rested.rates(first, "control_bytes")
    return Measured(
        core_percent=100.0 * _mean(rested.rates(first, "cpu_s")),
        rss_mb=_mean(changed.resident_mb),
        rss_max_mb=max(changed.resident_mb),
        bytes_per_s=_mean(byte_rates),
        bytes_max_per_s=max(byte_rates),
        messages_per_s=_mean(rested.rates(first, "control_messages")),
        change_cpu_ms=1000.0 * added("cpu_s"),
        change_bytes=added("control_bytes"),
        change_messages=added("control_messages"),
        delays_s=tuple(sorted(delays)),
        rest_started=first.at,
        rest_ended=rested.at,
    )


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)
