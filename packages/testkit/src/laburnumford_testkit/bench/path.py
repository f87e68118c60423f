"""Latency that nodes add to a call, and what a node costs."""

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
"""Target load of a node, section 1.6 of the design page."""

_ANSWER_BYTES = 200
_WARM_UP_S = 1.0
_IDLE_S = 3.0
_SLOTS = 12
_SAFETY = 1.1  # Poisson arrivals vary; 10% more time makes the wanted samples likely
_LONGEST_US = 60_000_000
_DIGITS = 3
_PLACEHOLDER = "127.0.0.1:1"  # the cluster replaces every address


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Repetition:
    """Latencies in ms of one repetition, and processor time in seconds."""

    via_ms: list[float]
    direct_ms: list[float]
    cpu_s: float


@bench_module.benches.register("path")
class PathBench(bench_module.Options):
    """Compares calls through one and two nodes with direct calls to the same backend server.

    Direct calls and calls through nodes are interleaved in one open-loop
    load, so that both see the same state of the machine. Latency counts from
    the time when a request is written to a warm connection.
    """

    async def run(self) -> AsyncIterator[figure_module.Figure]:
        """Yields idle cost, added latency and processor time per call."""
        async with cluster_module.Cluster(
            objects=_deployment(), folder=self.folder, seed=self.seed
        ) as cluster:
            async for figure in self._idle(cluster):
                yield figure
            for hops in (1, 2):
                async for figure in self._added(cluster, hops):
                    yield figure

    async def _idle(self, cluster: cluster_module.Cluster) -> AsyncIterator[figure_module.Figure]:
        node = cluster.nodes_by_name["near-1"]
        await asyncio.sleep(1.0)
        before_s = node.cpu_s()
        await asyncio.sleep(_IDLE_S)
        cpu_s = node.cpu_s() - before_s
        yield self._figure("path.idle_memory_mb", node.resident_bytes() / 1e6, "MB", samples=1)
        yield self._figure(
            "path.idle_cpu_percent", 100 * cpu_s / _IDLE_S, "% of a core", samples=1
        )

    async def _added(
        self, cluster: cluster_module.Cluster, hops: int
    ) -> AsyncIterator[figure_module.Figure]:
        seconds = _SAFETY * self.samples / CALLS_PER_S / self.repetitions
        await self._measure(cluster, hops, _WARM_UP_S, self.seed)
        repetitions = [
            await self._measure(cluster, hops, seconds, self.seed + index)
            for index in range(1, self.repetitions + 1)
        ]
        labels = (("hops", hops),)
        via = [value for one in repetitions for value in one.via_ms]
        direct = [value for one in repetitions for value in one.direct_ms]
        for name, percentile in (("p50", 50.0), ("p99", 99.0)):
            spread = [
                _percentile(one.via_ms, percentile) - _percentile(one.direct_ms, percentile)
                for one in repetitions
            ]
            baseline = _percentile(direct, percentile)
            yield self._figure(
                f"path.added_{name}_ms",
                _percentile(via, percentile) - baseline,
                "ms",
                samples=len(via),
                baseline=baseline,
                low=min(spread),
                high=max(spread),
                repetitions=self.repetitions,
                labels=labels,
            )
        costs = [1e6 * one.cpu_s / len(one.via_ms) for one in repetitions]
        yield self._figure(
            "path.cpu_us_per_call",
            1e6 * sum(one.cpu_s for one in repetitions) / len(via),
            "us",
            samples=len(via),
            low=min(costs),
            high=max(costs),
            repetitions=self.repetitions,
            labels=labels,
        )

    async def _measure(
        self, cluster: cluster_module.Cluster, hops: int, seconds: float, seed: int
    ) -> _Repetition:
        """Runs one load of direct calls and calls through nodes, at the same rate each."""
        target = "near" if hops == 1 else "far"
        nodes = [cluster.nodes_by_name[name] for name in ("near-1", "far-1")[:hops]]
        connections = pool.Pool()
        via = caller.Caller(pool=connections, name=f"v{hops}-{seed}-")
        direct = caller.Caller(pool=connections, name=f"d{hops}-{seed}-")
        wanted = call.Call(path=f"/{target}", work_ms=0, answer_bytes=_ANSWER_BYTES)
        gc.collect()
        gc.freeze()
        before_s = sum(node.cpu_s() for node in nodes)
        await asyncio.gather(
            *(
                load.run(
                    load.Load(
                        calls=[wanted],
                        addresses=[address],
                        rate_per_s=CALLS_PER_S,
                        duration_s=seconds,
                        seed=2 * seed + index,
                    ),
                    made,
                )
                for index, (made, address) in enumerate(
                    [
                        (via, cluster.edge_address("near-1")),
                        (direct, cluster.servers_by_name[f"{target}-1"].address),
                    ]
                )
            )
        )
        cpu_s = sum(node.cpu_s() for node in nodes) - before_s
        gc.unfreeze()
        connections.close()
        return _Repetition(
            via_ms=_latencies_ms(via.records),
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
            # Processes that share the machine lengthen every percentile.
            labels=(*labels, ("machine_load", round(os.getloadavg()[0], 1))),
        )


def _latencies_ms(records: list[record.Record]) -> list[float]:
    """Returns the latencies; a call that was not answered whole ends the bench.

    Raises:
        TestkitError: a call failed, so that latencies would be those of failures.
    """
    failed = [one for one in records if one.answered is None or not one.is_own_answer]
    if failed:
        raise errors.TestkitError(f"{len(failed)} of {len(records)} calls failed: {failed[0]}")
    return [1000 * (one.answered - one.sent) for one in records if one.answered is not None]


def _percentile(values_ms: list[float], percentile: float) -> float:
    recorded = histogram.HdrHistogram(1, _LONGEST_US, _DIGITS)
    for value in values_ms:
        recorded.record_value(max(1, math.ceil(value * 1000)))
    return float(recorded.get_value_at_percentile(percentile)) / 1000


def _deployment() -> object_set.ObjectSet:
    """Returns two services with one backend server each in one zone."""
    names = ("near", "far")
    groups = {
        name: group.Group(
            name=name,
            backend_servers=(
                backend_server.BackendServer(
                    name=f"{name}-1",
                    address=_PLACEHOLDER,
                    edge_address=_PLACEHOLDER,
                    peer_address=_PLACEHOLDER,
                    control_address=_PLACEHOLDER,
                    zone="zone-a",
                    slots=_SLOTS,
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
