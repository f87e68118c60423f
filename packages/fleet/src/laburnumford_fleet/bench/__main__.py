"""Benchmark that prints measurements of the package as JSON lines."""

import argparse
import asyncio
import contextlib
import json
import random
import socket
import sys
import time
from typing import Any

from laburnumford_fleet.bench import _fake_platform, sets, synthetic
from laburnumford_objects import bundle

_MAX_NODES = 100
_MAX_CONCURRENT_STARTS = 8
_ANSWER_LINE_TIMEOUT_S = 60.0


class _Process:
    """Runs one node in a process of its own."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.applied_at: dict[int, float] = {}
        self._process = process
        self._lines: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self._task = asyncio.create_task(self._read())

    async def next_answer(self) -> dict[str, Any]:
        """Waits for the next record that does not report an applied version."""
        async with asyncio.timeout(_ANSWER_LINE_TIMEOUT_S):
            return await self._lines.get()

    async def status(self) -> dict[str, Any]:
        """Requests the counters of the node."""
        assert self._process.stdin is not None
        self._process.stdin.write(b"\n")
        return await self.next_answer()

    async def close(self) -> None:
        """Stops the process, and kills it if it does not end within 10 s."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            async with asyncio.timeout(10.0):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
        await self._task

    async def _read(self) -> None:
        assert self._process.stdout is not None
        while line := await self._process.stdout.readline():
            record = json.loads(line)
            if "version" in record:
                self.applied_at[record["version"]] = record["at"]
            else:
                self._lines.put_nowait(record)


class _Bench:
    """Runs the nodes and prints the records."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._generator = random.Random(arguments.seed)
        self._fake_platform = _fake_platform.FakePlatform()
        self._processes: list[_Process] = []
        self._ports = _free_ports(arguments.nodes)
        self._published: Any = None
        self._values: dict[str, bytes] = {}

    async def run(self) -> None:
        """Measures the nodes while idle, during changes and after the loss of a third of them."""
        await self._fake_platform.start()
        try:
            await self._publish()
            await self._start()
            await asyncio.sleep(self._arguments.settle_s)
            before = await self._read_counters()
            await asyncio.sleep(self._arguments.rest_s)
            idle_counters = await self._read_counters()
            idle_rates = self._report_idle(before, idle_counters)
            await self._measure_changes()
            self._report_changes(idle_counters, await self._read_counters(), idle_rates)
            await self._stop_a_third()
        finally:
            await asyncio.gather(*(process.close() for process in self._processes))
            await self._fake_platform.close()

    async def _start(self) -> None:
        started = time.monotonic()
        for first in range(0, self._arguments.nodes, _MAX_CONCURRENT_STARTS):
            indexes = range(first, min(first + _MAX_CONCURRENT_STARTS, self._arguments.nodes))
            added = [_Process(await self._spawn(index)) for index in indexes]
            self._processes += added
            for process in added:
                await process.next_answer()
        await self._wait_in_force(1)
        self._print("start.all", time.monotonic() - started, "s", self._arguments.nodes)

    async def _spawn(self, index: int) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "laburnumford_fleet.bench._node",
            f"--index={index}",
            f"--port={self._ports[index]}",
            f"--platform={self._fake_platform.url}",
            f"--seed={self._arguments.seed}",
            "--seeds",
            *(str(port) for port in self._ports[:3]),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )

    async def _publish(self) -> int:
        version = self._published.version + 1 if self._published else 1
        objects = sets.small(self._ports, timeout_ms=1000 + version)
        values = bundle.bundle(self._published, objects, version)
        self._values |= values
        self._published = bundle.read(self._values, sets.WORKSPACE)
        await self._fake_platform.publish(values)
        return version

    async def _wait_in_force(self, version: int) -> None:
        async with asyncio.timeout(30.0):
            while not all(version in process.applied_at for process in self._processes):
                await asyncio.sleep(0.02)

    async def _measure_changes(self) -> None:
        self._in_force_delays_s: list[float] = []
        for _ in range(self._arguments.changes):
            await asyncio.sleep(self._generator.uniform(0.7, 1.3))
            published_at = time.monotonic()
            version = await self._publish()
            await self._wait_in_force(version)
            self._in_force_delays_s += [
                process.applied_at[version] - published_at for process in self._processes
            ]

    async def _stop_a_third(self) -> None:
        """Stops every third node and measures the traffic of the others and a change."""
        lost = self._processes[2::3]
        if not lost:
            return
        self._processes = [process for process in self._processes if process not in lost]
        before = await self._read_counters()
        await asyncio.gather(*(process.close() for process in lost))
        await asyncio.sleep(self._arguments.lost_s)
        after = await self._read_counters()
        elapsed_s = after["at"] - before["at"]
        per_node = [
            (last - first) / elapsed_s
            for first, last in zip(before["bytes"], after["bytes"], strict=True)
        ]
        nodes = len(self._processes)
        self._print("third.lost.control.bytes.mean", sum(per_node) / nodes, "B/s", nodes)
        self._print("third.lost.control.bytes.max", max(per_node), "B/s", nodes)
        reads = (after["reads"] - before["reads"]) / elapsed_s
        self._print("third.lost.platform.reads", reads, "1/s of all nodes", 1)
        published_at = time.monotonic()
        version = await self._publish()
        await self._wait_in_force(version)
        seconds = [process.applied_at[version] - published_at for process in self._processes]
        self._print("third.lost.change.in_force.max", max(seconds), "s", nodes)

    async def _read_counters(self) -> dict[str, Any]:
        states = await asyncio.gather(*(process.status() for process in self._processes))
        return {
            "at": time.monotonic(),
            "bytes": [state["control"]["estimated_bytes"] for state in states],
            "payload": [
                state["control"]["payload_bytes_sent"] + state["control"]["payload_bytes_received"]
                for state in states
            ],
            "messages": [
                state["control"]["messages_sent"] + state["control"]["messages_received"]
                for state in states
            ],
            "cpu": [state["cpu_s"] for state in states],
            "resident": [state["resident_mb"] for state in states],
            "confirmed": [state["confirmed"] for state in states],
            "reads": self._fake_platform.reads,
        }

    def _report_idle(self, before: dict[str, Any], after: dict[str, Any]) -> dict[str, float]:
        elapsed_s = after["at"] - before["at"]
        nodes = self._arguments.nodes
        rates: dict[str, float] = {}
        for name, unit in (("bytes", "B/s"), ("payload", "B/s"), ("messages", "1/s")):
            per_node = [
                (last - first) / elapsed_s
                for first, last in zip(before[name], after[name], strict=True)
            ]
            rates[name] = sum(per_node) / nodes
            self._print(f"rest.control.{name}.mean", rates[name], unit, nodes)
            self._print(f"rest.control.{name}.max", max(per_node), unit, nodes)
        shares = [
            100.0 * (last - first) / elapsed_s
            for first, last in zip(before["cpu"], after["cpu"], strict=True)
        ]
        rates["cpu"] = sum(shares) / nodes
        self._print("rest.cpu.mean", rates["cpu"], "% of a core", nodes)
        self._print("rest.cpu.max", max(shares), "% of a core", nodes)
        self._print("rest.resident.mean", sum(after["resident"]) / nodes, "MB", nodes)
        self._print("rest.resident.max", max(after["resident"]), "MB", nodes)
        reads = (after["reads"] - before["reads"]) / elapsed_s
        self._print("rest.platform.reads", reads, "1/s of all nodes", 1)
        self._print("confirmed", sum(after["confirmed"]), "nodes", nodes)
        return rates

    def _report_changes(
        self, before: dict[str, Any], after: dict[str, Any], idle_rates: dict[str, float]
    ) -> None:
        elapsed_s = after["at"] - before["at"]
        nodes, changes = self._arguments.nodes, self._arguments.changes
        seconds = sorted(self._in_force_delays_s)
        for name, share in (("p50", 0.5), ("p99", 0.99), ("max", 1.0)):
            value = seconds[min(len(seconds) - 1, int(len(seconds) * share))]
            self._print(f"change.in_force.{name}", value, "s", len(seconds))
        for name, unit in (("bytes", "B"), ("payload", "B"), ("messages", "messages")):
            total = sum(after[name]) - sum(before[name])
            extra = (total / nodes - idle_rates[name] * elapsed_s) / changes
            self._print(f"change.control.{name}.per_node", extra, unit, changes)
        cpu_ms = (sum(after["cpu"]) - sum(before["cpu"])) / nodes * 1000.0
        extra_ms = (cpu_ms - idle_rates["cpu"] / 100.0 * elapsed_s * 1000.0) / changes
        self._print("change.cpu.per_node", extra_ms, "ms", changes)
        reads = (after["reads"] - before["reads"]) / changes
        self._print("change.platform.reads", reads, "reads of all nodes", changes)

    def _print(self, name: str, value: float, unit: str, samples: int) -> None:
        _write(
            {
                "name": name,
                "value": round(value, 4),
                "unit": unit,
                "seed": self._arguments.seed,
                "samples": samples,
            }
        )


def _write(record: dict[str, Any]) -> None:
    sys.stdout.write(json.dumps(record) + "\n")
    sys.stdout.flush()


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for found in sockets:
            found.bind(("127.0.0.1", 0))
        return [found.getsockname()[1] for found in sockets]


def main() -> None:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(prog="python -m laburnumford_fleet.bench")
    parser.add_argument("--nodes", type=int, default=30, choices=range(1, _MAX_NODES + 1))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--settle-s", type=float, default=12.0)
    parser.add_argument("--rest-s", type=float, default=40.0)
    parser.add_argument("--lost-s", type=float, default=20.0)
    arguments = parser.parse_args()
    asyncio.run(_Bench(arguments).run())
    for record in synthetic.measure(arguments.seed):
        _write(record)


if __name__ == "__main__":
    main()
