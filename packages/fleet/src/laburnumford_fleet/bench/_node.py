"""One node of the benchmark, controlled over its standard streams."""

import argparse
import asyncio
import json
import os
import random
import resource
import sys
import time
from typing import Any

from laburnumford_fleet import fleet
from laburnumford_fleet.bench import sets


def _print(record: dict[str, Any]) -> None:
    sys.stdout.write(json.dumps(record) + "\n")
    sys.stdout.flush()


def resident_mb() -> float:
    """Returns the resident memory of this process in MB (2**20 bytes)."""
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


def _cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def _run(arguments: argparse.Namespace) -> None:
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    node = fleet.Fleet(
        settings=sets.settings(
            index=arguments.index,
            port=arguments.port,
            platform_url=arguments.platform,
            seeds=arguments.seeds,
        ),
        generator=random.Random(arguments.seed * 1000 + arguments.index),
        # All processes of a machine share the monotonic clock, so the parent can compare times.
        on_apply=lambda _, version: _print({"version": version, "at": time.monotonic()}),
    )
    await node.start()
    _print({"started": node.version})
    try:
        # Each line requests the status; the end of the stream stops the process.
        while await reader.readline():
            status = node.status()
            _print(
                {
                    "control": status["control"],
                    "platform": status["platform"],
                    "confirmed": status["confirmed"],
                    "cpu_s": _cpu_s(),
                    "at": time.monotonic(),
                    "resident_mb": resident_mb(),
                }
            )
    finally:
        await node.close()


def main() -> None:
    """Runs the node until its standard input ends."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--index", type=int, required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--platform", required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seeds", type=int, nargs="*", default=())
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
