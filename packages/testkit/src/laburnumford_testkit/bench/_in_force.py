"""Reads from the logs of nodes when a version came into force."""

import asyncio
import datetime
import re
import time
from collections.abc import Iterable

from laburnumford_testkit import errors
from laburnumford_testkit.processes import process

_IN_FORCE_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.05
# The nodes run on this machine, so the times in their logs and this process share a wall clock.
_IN_FORCE_LINE = r"^(\S+ \S+) \S+ node: version {} in force"


async def delays_s(
    processes: Iterable[process.Process], version: int, accepted_wall_s: float
) -> list[float]:
    """Waits until all nodes have a version in force and returns their delays.

    Args:
        processes: processes of the nodes.
        version: number of the version.
        accepted_wall_s: wall-clock time at which the platform had accepted the version.

    Returns:
        Seconds from `accepted_wall_s` until the version was in force, one value per node.

    Raises:
        TestkitError: the version was not in force on every node within 30 s.
    """
    pattern = re.compile(_IN_FORCE_LINE.format(version), re.MULTILINE)
    waiting = list(processes)
    delays: list[float] = []
    deadline = time.monotonic() + _IN_FORCE_TIMEOUT_S
    while waiting:
        if time.monotonic() > deadline:
            raise errors.TestkitError(
                f"version {version} was not in force on {len(waiting)} nodes after {_IN_FORCE_TIMEOUT_S} s"
            )
        await asyncio.sleep(_POLL_INTERVAL_S)
        still_waiting = []
        for node_process in waiting:
            line = pattern.search(node_process.output())
            if line is None:
                still_waiting.append(node_process)
                continue
            in_force_at = datetime.datetime.strptime(line.group(1), "%Y-%m-%d %H:%M:%S,%f")
            # A node may read the version before the platform has answered the publisher; the difference
            # is then negative.
            delays.append(max(0.0, in_force_at.timestamp() - accepted_wall_s))
        waiting = still_waiting
    return delays
