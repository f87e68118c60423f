"""Measures what a set of nodes costs while idle and per published change."""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence

from laburnumford_testkit.bench import _counters, _in_force
from laburnumford_testkit.processes import node_client, process

_CHANGE_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeCosts:
    """Costs of a node, and the delays until changes were in force.

    Values are means over the nodes unless stated otherwise. Traffic counts both directions, with
    the protocol overhead that `laburnumford_fleet.meter` estimates. Costs per change are those
    above the costs of the same time while idle.

    Attributes:
        core_percent: processor time while idle, in percent of a core.
        rss_mb: resident memory after the changes.
        rss_max_mb: largest resident memory of a node.
        bytes_per_s: control traffic while idle.
        bytes_max_per_s: largest control traffic of a node while idle.
        messages_per_s: control messages while idle.
        change_cpu_ms: processor time per change.
        change_bytes: control traffic per change.
        change_messages: control messages per change.
        delays_s: seconds from the acceptance of a version until it was in force, ascending, one
            value per node and change.
        idle_started: start of the idle phase, in seconds of the monotonic clock.
        idle_ended: end of the idle phase, in seconds of the monotonic clock.
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
    idle_started: float
    idle_ended: float


async def measure(
    *,
    processes_by_name: Mapping[str, process.Process],
    clients_by_name: Mapping[str, node_client.NodeClient],
    publish: Callable[[], Awaitable[int]],
    idle_s: float,
    changes: int,
) -> NodeCosts:
    """Measures running nodes, first while idle, then while versions are published."""

    async def read() -> _counters.Counters:
        return await _counters.read(processes_by_name, clients_by_name)

    at_start = await read()
    await asyncio.sleep(idle_s)
    after_idle = await read()
    delays: list[float] = []
    for _ in range(changes):
        version = await publish()
        # The platform has accepted the version once the head, its last value, is written.
        accepted_wall_s = time.time()
        delays += await _in_force.delays_s(processes_by_name.values(), version, accepted_wall_s)
        await asyncio.sleep(_CHANGE_INTERVAL_S)
    after_changes = await read()
    seconds_per_change = (after_changes.at - after_idle.at) / changes

    def increase_per_change(name: str) -> float:
        """Returns the mean increase of a counter per change, above its rate while idle."""
        rate = _mean(after_changes.rates(after_idle, name)) - _mean(
            after_idle.rates(at_start, name)
        )
        return rate * seconds_per_change

    byte_rates = after_idle.rates(at_start, "control_bytes")
    return NodeCosts(
        core_percent=100.0 * _mean(after_idle.rates(at_start, "cpu_s")),
        rss_mb=_mean(after_changes.resident_mb),
        rss_max_mb=max(after_changes.resident_mb),
        bytes_per_s=_mean(byte_rates),
        bytes_max_per_s=max(byte_rates),
        messages_per_s=_mean(after_idle.rates(at_start, "control_messages")),
        change_cpu_ms=1000.0 * increase_per_change("cpu_s"),
        change_bytes=increase_per_change("control_bytes"),
        change_messages=increase_per_change("control_messages"),
        delays_s=tuple(sorted(delays)),
        idle_started=at_start.at,
        idle_ended=after_idle.at,
    )


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values)
