"""Measures the latency that nodes add to a call, and the resource use of a node."""

import asyncio
import dataclasses
import gc
import math
import os
from collections.abc import AsyncIterator

from hdrh import histogram

from laburnumford_objects import backend_server, group, object_set, policy, route, service, zone
from laburnumford_testkit import errors
from laburnumford_testkit.bench import bench as bench_module
from laburnumford_testkit.bench import figure as figure_module
from laburnumford_testkit.caller import call, caller, load, pool, record
from laburnumford_testkit.processes import cluster as cluster_module

CALLS_PER_S = 150.0
"""Target load of a node; section 1.6 of the design page."""

_ANSWER_BYTES = 200
_WARM_UP_S = 1.0
_IDLE_DURATION_S = 3.0
_SLOTS_PER_SERVER = 12
_DURATION_MARGIN_FACTOR = 1.1  # Poisson arrivals vary; 10% more time makes enough samples likely
_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_PLACEHOLDER_ADDRESS = "127.0.0.1:1"  # the cluster replaces every address


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Repetition:
    """Result of one repetition.

    Attributes:
        via_nodes_ms: latencies of the calls through nodes.
        direct_ms: latencies of the direct calls.
        cpu_s: processor time of the nodes.
    """

    via_nodes_ms: list[float]
    direct_ms: list[float]
    cpu_s: float


@bench_module.benches.register("path")
class PathBench(bench_module.Options):
    """Compares calls through one and two nodes with direct calls to the same backend server.

    Direct calls and calls through nodes run at the same time in open loops of the same rate, so
    that both see the same state of the machine. Latency counts from the time when a request is
    written to an established connection.
    """

    async def run(self) -> AsyncIterator[figure_module.Figure]:
        """Yields the idle cost of a node, then added latency and processor time per call."""
        async with cluster_module.Cluster(
            objects=_deployment(), folder=self.folder, seed=self.seed
        ) as cluster:
            async for figure in self._idle_figures(cluster):
                yield figure
            for hops in (1, 2):
                async for figure in self._call_figures(cluster, hops):
                    yield figure

    async def _idle_figures(
        self, cluster: cluster_module.Cluster
    ) -> AsyncIterator[figure_module.Figure]:
        node = cluster.nodes_by_name["near-1"]
        await asyncio.sleep(1.0)
        before_s = node.cpu_s()
        await asyncio.sleep(_IDLE_DURATION_S)
        cpu_s = node.cpu_s() - before_s
        yield self._figure("path.idle_memory_mb", node.resident_bytes() / 1e6, "MB", samples=1)
        yield self._figure(
            "path.idle_cpu_percent", 100 * cpu_s / _IDLE_DURATION_S, "% of a core", samples=1
        )

    async def _call_figures(
        self, cluster: cluster_module.Cluster, hops: int
    ) -> AsyncIterator[figure_module.Figure]:
        duration_s = _DURATION_MARGIN_FACTOR * self.samples / CALLS_PER_S / self.repetitions
        await self._measure(cluster, hops, _WARM_UP_S, self.seed)
        repetitions = [
            await self._measure(cluster, hops, duration_s, self.seed + index)
            for index in range(1, self.repetitions + 1)
        ]
        labels = (("hops", hops),)
        via_nodes = [value for one in repetitions for value in one.via_nodes_ms]
        direct = [value for one in repetitions for value in one.direct_ms]
        for name, percentile in (("p50", 50.0), ("p99", 99.0)):
            added_by_repetition_ms = [
                _percentile(one.via_nodes_ms, percentile) - _percentile(one.direct_ms, percentile)
                for one in repetitions
            ]
            baseline = _percentile(direct, percentile)
            yield self._figure(
                f"path.added_{name}_ms",
                _percentile(via_nodes, percentile) - baseline,
                "ms",
                samples=len(via_nodes),
                baseline=baseline,
                low=min(added_by_repetition_ms),
                high=max(added_by_repetition_ms),
                repetitions=self.repetitions,
                labels=labels,
            )
        cpu_us_by_repetition = [1e6 * one.cpu_s / len(one.via_nodes_ms) for one in repetitions]
        yield self._figure(
            "path.cpu_us_per_call",
            1e6 * sum(one.cpu_s for one in repetitions) / len(via_nodes),
            "us",
            samples=len(via_nodes),
            low=min(cpu_us_by_repetition),
            high=max(cpu_us_by_repetition),
            repetitions=self.repetitions,
            labels=labels,
        )

    async def _measure(
        self, cluster: cluster_module.Cluster, hops: int, duration_s: float, seed: int
    ) -> _Repetition:
        """Runs direct calls and calls through nodes at the same time, at the same rate each."""
        target = "near" if hops == 1 else "far"
        nodes = [cluster.nodes_by_name[name] for name in ("near-1", "far-1")[:hops]]
        connections = pool.Pool()
        via_nodes = caller.Caller(pool=connections, name=f"v{hops}-{seed}-")
        direct = caller.Caller(pool=connections, name=f"d{hops}-{seed}-")
        measured_call = call.Call(path=f"/{target}", work_ms=0, answer_bytes=_ANSWER_BYTES)
        gc.collect()
        gc.freeze()
        before_s = sum(node.cpu_s() for node in nodes)
        await asyncio.gather(
            *(
                load.run(
                    load.Load(
                        calls=[measured_call],
                        addresses=[address],
                        rate_per_s=CALLS_PER_S,
                        duration_s=duration_s,
                        seed=2 * seed + index,
                    ),
                    load_caller,
                )
                for index, (load_caller, address) in enumerate(
                    [
                        (via_nodes, cluster.edge_address("near-1")),
                        (direct, cluster.servers_by_name[f"{target}-1"].address),
                    ]
                )
            )
        )
        cpu_s = sum(node.cpu_s() for node in nodes) - before_s
        gc.unfreeze()
        connections.close()
        return _Repetition(
            via_nodes_ms=_latencies_ms(via_nodes.records),
            direct_ms=_latencies_ms(direct.records),
            cpu_s=cpu_s,
        )

    def _figure(
        self,
        name: str,
        value: float,
        unit: str,
        *,
        samples: int,
        baseline: float | None = None,
        low: float | None = None,
        high: float | None = None,
        repetitions: int | None = None,
        labels: tuple[tuple[str, int | float | str], ...] = (),
    ) -> figure_module.Figure:
        return figure_module.Figure(
            name=name,
            value=value,
            unit=unit,
            seed=self.seed,
            samples=samples,
            baseline=baseline,
            low=low,
            high=high,
            repetitions=repetitions,
            # Other processes on the machine raise every percentile.
            labels=(*labels, ("machine_load", round(os.getloadavg()[0], 1))),
        )


def _latencies_ms(records: list[record.Record]) -> list[float]:
    """Returns the latencies in ms.

    Raises:
        TestkitError: a call has no complete answer of its own, so that its latency would be that
            of a failure.
    """
    failed = [one for one in records if one.answered is None or not one.is_own_answer]
    if failed:
        raise errors.TestkitError(
            f"{len(failed)} of {len(records)} calls failed; the first: {failed[0]}"
        )
    return [1000 * (one.answered - one.sent) for one in records if one.answered is not None]


def _percentile(values_ms: list[float], percentile: float) -> float:
    latency_histogram = histogram.HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for value in values_ms:
        latency_histogram.record_value(max(1, math.ceil(value * 1000)))
    return float(latency_histogram.get_value_at_percentile(percentile)) / 1000


def _deployment() -> object_set.ObjectSet:
    """Returns two services with one backend server each in one zone."""
    names = ("near", "far")
    groups = {
        name: group.Group(
            name=name,
            backend_servers=(
                backend_server.BackendServer(
                    name=f"{name}-1",
                    address=_PLACEHOLDER_ADDRESS,
                    edge_address=_PLACEHOLDER_ADDRESS,
                    peer_address=_PLACEHOLDER_ADDRESS,
                    control_address=_PLACEHOLDER_ADDRESS,
                    zone="zone-a",
                    slots=_SLOTS_PER_SERVER,
                ),
            ),
        )
        for name in names
    }
    return object_set.ObjectSet(
        workspace="bench",
        zones_by_name={"zone-a": zone.Zone(name="zone-a", region="region-a")},
        policies_by_name={"lookup": policy.Policy(name="lookup", timeout_ms=5000)},
        services_by_name={
            name: service.Service(name=name, group=name, policy="lookup") for name in names
        },
        groups_by_name=groups,
        routes_by_name={
            name: route.Route(name=name, service=name, path_prefix=f"/{name}") for name in names
        },
    )
