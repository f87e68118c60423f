"""Measures the cost of control by number of nodes and estimates it for the target scale."""

import asyncio
import os
import pathlib
import statistics
from collections.abc import AsyncIterator

from laburnumford_fleet.bench import sets, synthetic
from laburnumford_objects import object_set
from laburnumford_testkit.bench import _large_fleet, _measured
from laburnumford_testkit.bench import bench as bench_module
from laburnumford_testkit.bench import figure as figure_module
from laburnumford_testkit.processes import addresses, cluster, process

TARGET_NODES = 10_000
CHANGES_PER_DAY = 15_000
"""Changes at the target scale; section 1.6 of the design page."""

_TARGET_READERS = 100  # larger of 3 per zone in 12 zones and sqrt(10,000)
_TARGET_LIST_INTERVAL_S = 700.0  # the list of 10,000 VMs is 0.7 MB, read at 1 KB/s
_SECONDS_PER_DAY = 86_400.0
_BENCH_TIMEOUT_S = 480.0
_FLEET_SIZES = (10, 30, 60, 100)
_QUICK_FLEET_SIZES = (4, 10)
_ZONE_COUNT = 3
# A node sends the reports of started nodes once a second; its traffic falls to the idle rate within
# this time.
_SETTLE_S = 30.0
_IDLE_S = 25.0
_CHANGE_COUNT = 8
_QUICK_SETTLE_S = 3.0
_QUICK_IDLE_S = 3.0
_QUICK_CHANGE_COUNT = 2


@bench_module.benches.register("scale")
class ScaleBench(bench_module.Options):
    """Measures real nodes at several sizes and one node in an object set of the target scale.

    All nodes of a size share one fake backend server, which answers their health requests. No
    calls are made, so processor time and traffic are those of control, measuring and the process
    itself.
    """

    async def run(self) -> AsyncIterator[figure_module.Figure]:
        """Yields the figures of each size, then the estimates for the target scale.

        Raises:
            TimeoutError: the bench took more than 8 minutes.
        """
        async with asyncio.timeout(_BENCH_TIMEOUT_S):
            async for found in self._run():
                yield found

    async def _run(self) -> AsyncIterator[figure_module.Figure]:
        sizes = _QUICK_FLEET_SIZES if self.quick else _FLEET_SIZES
        self._settle_s = _QUICK_SETTLE_S if self.quick else _SETTLE_S
        self._idle_s = _QUICK_IDLE_S if self.quick else _IDLE_S
        self._changes = _QUICK_CHANGE_COUNT if self.quick else _CHANGE_COUNT
        measured_by_size: dict[int, _measured.NodeCosts] = {}
        for size in sizes:
            folder = self._folder(f"nodes-{size}")
            measured, watches_per_s, lists_per_s = await self._measure_size(folder, size)
            measured_by_size[size] = measured
            for found in self._figures(f"nodes_{size}", measured, size):
                yield found
            zones = min(_ZONE_COUNT, size)
            readers = min(size, max(3 * zones, int(size**0.5)))
            watches_per_reader = watches_per_s / readers
            yield self._figure(
                f"scale.nodes_{size}.reads_per_s", watches_per_s + lists_per_s, "1/s", size
            )
            yield self._figure(
                f"scale.nodes_{size}.watches_per_reader", watches_per_reader, "1/s", readers
            )
        large = await _large_fleet.measure(
            folder=self._folder("large"),
            settle_s=self._settle_s,
            idle_s=self._idle_s,
            changes=self._changes,
        )
        for found in self._figures("large_set", large, 1):
            yield found
        for record in await asyncio.to_thread(synthetic.measure, self.seed):
            yield self._figure(
                f"scale.{record['name']}",
                float(str(record["value"])),
                str(record["unit"]),
                int(str(record["samples"])),
            )
        for found in self._target_figures(measured_by_size, large, watches_per_reader):
            yield found

    def _folder(self, name: str) -> pathlib.Path:
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        return folder

    async def _measure_size(
        self, folder: pathlib.Path, size: int
    ) -> tuple[_measured.NodeCosts, float, float]:
        """Returns the costs of a node, and the watches and list reads per second of all nodes."""
        address = addresses.free_addresses(1)[0]
        host, _, port = address.rpartition(":")
        backend = process.Process(
            name="backend",
            module="laburnumford_testkit.backend",
            arguments=["--name", "shared", "--host", host, "--port", port, "--slots", "100"],
            folder=folder,
        )
        running = cluster.Cluster(
            objects=_deployment(size, timeout_ms=1000),
            folder=folder,
            seed=self.seed,
            node_settings={"backend_address": address},
        )
        try:
            await backend.start()
            await running.start_platform()
            await running.start_nodes()
            await asyncio.sleep(self._settle_s)

            async def publish() -> int:
                version = running.publisher.version
                policies = _deployment(size, timeout_ms=1000 + version).policies_by_name
                return await running.publish(
                    running.objects.model_copy(update={"policies_by_name": policies})
                )

            measured = await _measured.measure(
                processes_by_name=running.nodes_by_name,
                clients_by_name={name: running.node(name) for name in running.nodes_by_name},
                publish=publish,
                idle_s=self._idle_s,
                changes=self._changes,
            )
            reads = [
                read
                for read in await running.platform.reads()
                if measured.idle_started <= read["at"] < measured.idle_ended
            ]
        finally:
            await running.close()
            backend.kill()
        elapsed_s = measured.idle_ended - measured.idle_started
        lists = sum(read["key"] == "vms" for read in reads)
        return measured, (len(reads) - lists) / elapsed_s, lists / elapsed_s

    def _figures(
        self, name: str, measured: _measured.NodeCosts, nodes: int
    ) -> list[figure_module.Figure]:
        delays = measured.delays_s
        rows = [
            ("core_percent", measured.core_percent, "% of a core", nodes),
            ("rss_mb", measured.rss_mb, "MB", nodes),
            ("rss_max_mb", measured.rss_max_mb, "MB", nodes),
            ("bytes_per_s", measured.bytes_per_s, "B/s", nodes),
            ("bytes_max_per_s", measured.bytes_max_per_s, "B/s", nodes),
            ("messages_per_s", measured.messages_per_s, "1/s", nodes),
            ("change_cpu_ms", measured.change_cpu_ms, "ms", self._changes),
            ("change_bytes", measured.change_bytes, "B", self._changes),
            ("change_messages", measured.change_messages, "1", self._changes),
            ("in_force_p50_s", statistics.median(delays), "s", len(delays)),
            ("in_force_p99_s", delays[int(0.99 * (len(delays) - 1))], "s", len(delays)),
            ("in_force_max_s", delays[-1], "s", len(delays)),
        ]
        return [
            self._figure(f"scale.{name}.{row}", value, unit, samples)
            for row, value, unit, samples in rows
        ]

    def _target_figures(
        self,
        measured_by_size: dict[int, _measured.NodeCosts],
        large: _measured.NodeCosts,
        watches_per_reader: float,
    ) -> list[figure_module.Figure]:
        """Returns the figures at the target scale.

        Costs per node are those measured in the object set of the target scale, in which a node
        has as many neighbours as at the target, plus the costs of the changes of a day. `slope`
        is the increase per node from the smallest to the largest fleet, by least squares.
        """
        largest = max(measured_by_size)
        changes_per_s = CHANGES_PER_DAY / _SECONDS_PER_DAY
        all_costs = (*measured_by_size.values(), large)
        core_percent = large.core_percent + 100.0 * changes_per_s * large.change_cpu_ms / 1000.0
        control_bytes_per_s = large.bytes_per_s + changes_per_s * large.change_bytes
        reads = _TARGET_READERS * (
            watches_per_reader + 1.0 / _TARGET_LIST_INTERVAL_S + 2.0 * changes_per_s
        )

        def slope(name: str) -> float:
            sizes = list(measured_by_size)
            values = [getattr(one, name) for one in measured_by_size.values()]
            return statistics.linear_regression(sizes, values).slope

        rows: list[tuple[str, float, str, int, float]] = [
            (
                "control_core_share",
                core_percent,
                "% of a core",
                TARGET_NODES,
                slope("core_percent"),
            ),
            ("rss_mb", large.rss_max_mb, "MB", TARGET_NODES, slope("rss_mb")),
            (
                "control_bytes_per_s",
                control_bytes_per_s,
                "B/s",
                TARGET_NODES,
                slope("bytes_per_s"),
            ),
            ("platform_reads_per_s", reads, "1/s of all nodes", largest, watches_per_reader),
        ]
        figures = [
            self._figure(
                f"scale.{name}", value, unit, 1, (("measured_at", at), ("slope", round(rise, 4)))
            )
            for name, value, unit, at, rise in rows
        ]
        worst_s = max(one.delays_s[-1] for one in all_costs)
        samples = sum(len(one.delays_s) for one in all_costs)
        figures.append(self._figure("scale.in_force_max_s", worst_s, "s", samples))
        return figures

    def _figure(
        self,
        name: str,
        value: float,
        unit: str,
        samples: int,
        labels: tuple[tuple[str, int | float | str], ...] = (),
    ) -> figure_module.Figure:
        load = round(os.getloadavg()[0], 1)
        return figure_module.Figure(
            name=name,
            value=value,
            unit=unit,
            seed=self.seed,
            samples=samples,
            labels=(*labels, ("settle_s", self._settle_s), ("machine_load", load)),
        )


def _deployment(size: int, *, timeout_ms: int) -> object_set.ObjectSet:
    """Returns one service with one server per node; the cluster replaces the addresses."""
    return sets.small(
        range(20_000, 20_000 + size), zone_count=min(_ZONE_COUNT, size), timeout_ms=timeout_ms
    )
