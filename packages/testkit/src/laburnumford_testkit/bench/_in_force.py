"""Times at which nodes took versions into force, from their logs."""

import asyncio
import datetime
import re
import time
from collections.abc import Iterable

from laburnumford_testkit import errors
from laburnumford_testkit.processes import process

_TIMEOUT_S = 30.0
_POLL_S = 0.05
# Nodes run on this machine, so their log times and this process share the wall clock.
_LINE = r"^(\S+ \S+) \S+ node: version {} in force"


async def delays_s(
    processes: Iterable[process.Process], version: int, accepted_wall_s: float
) -> list[float]:
    """Waits until all nodes have a version in force and returns the delays in seconds.

    Raises:
        TestkitError: a node did not get there in time.
    """
    pattern = re.compile(_LINE.format(version), re.MULTILINE)
    waiting = list(processes)
    found: list[float] = []
    deadline = time.monotonic() + _TIMEOUT_S
    while waiting:
        if time.monotonic() > deadline:
            raise errors.TestkitError(
                f"version {version} was not in force at {len(waiting)} nodes after {_TIMEOUT_S} s"
            )
        await asyncio.sleep(_POLL_S)
        left = []
        for one in waiting:
            line = pattern.search(one.output())
            if line is None:
                left.append(one)
                continue
            at = datetime.datetime.strptime(line.group(1), "%Y-%m-%d %H:%M:%S,%f")
            # A reader may be faster than the answer to the publisher.
            found.append(max(0.0, at.timestamp() - accepted_wall_s))
        waiting = left
    return found
