"""Common parts of the cases: routes, the end of a run and its exit status."""

import asyncio
import os
import pathlib
import resource
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from standin import record

HOST = "labs.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption happens."""

_MAX_S = 115.0

Play = Callable[[record.Record, pathlib.Path], Awaitable[bool]]
"""Plays a case and returns whether the rule was broken."""


def route(
    prefix: str, kind: str, service: str, timeout_s: float = 1.5, target_s: float = 0.5
) -> dict[str, Any]:
    """Returns a route of the configuration."""
    return {
        "host": HOST,
        "name": f"r-{prefix.strip('/')}",
        "prefix": prefix,
        "kind": kind,
        "timeoutS": timeout_s,
        "targetLatencyS": target_s,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }


def main(play: Play, record_path: pathlib.Path) -> None:
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    Args:
        play: plays the case.
        record_path: file for the record.
    """
    # A script that is asked to stop ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    log = record.Record(record_path)
    status = 2
    try:
        with tempfile.TemporaryDirectory() as settings_folder:
            status = int(asyncio.run(_limited(play, log, pathlib.Path(settings_folder))))
    except Exception:
        traceback.print_exc()
    log.close()
    sys.exit(status)


async def _limited(play: Play, log: record.Record, folder: pathlib.Path) -> bool:
    async with asyncio.timeout(_MAX_S):
        return await play(log, folder)


def require_descriptors(count: int) -> None:
    """Raises the limit on open files to a number, also for the nodes that are started later.

    Raises:
        ValueError: the limit cannot be raised to that number.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


def report(log: record.Record, **values: Any) -> None:
    """Writes a result into the record and to standard output."""
    log.write("result", **values)
    print(", ".join(f"{name}: {value}" for name, value in values.items()))  # noqa: T201
