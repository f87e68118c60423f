"""Runs one deployment under load and checks its logs."""

import asyncio
import collections
import pathlib
import time
from collections.abc import Callable

from laburnumford_objects import deployment
from laburnumford_testkit.caller import caller as caller_module
from laburnumford_testkit.caller import load, pool, record, summary
from laburnumford_testkit.demo import outcome as outcome_module
from laburnumford_testkit.demo import scenario as scenario_module
from laburnumford_testkit.judge import evidence, finding, judge
from laburnumford_testkit.judge import measuring as measuring_module
from laburnumford_testkit.processes import cluster as cluster_module
from laburnumford_testkit.processes import measuring_log

_OBSERVATION_INTERVAL_S = 0.5
_MIN_ANSWERED_SHARE = 0.95
"""Share of each kind of calls that must be answered when no fault is injected. The rest allows for
calls with short deadlines that a busy machine refuses."""


async def run(
    scenario: scenario_module.Scenario,
    *,
    path: pathlib.Path,
    folder: pathlib.Path,
    seed: int,
    duration_s: float,
    progress: Callable[[str], None],
) -> outcome_module.Outcome:
    """Starts the processes, applies the load, publishes a version half way and checks the logs.

    Args:
        scenario: load on the deployment.
        path: deployment file.
        folder: existing folder for logs.
        seed: seed of the load and the processes.
        duration_s: length of the load in seconds.
        progress: receives one line per step.
    """
    objects = deployment.load(str(path))
    cluster = cluster_module.Cluster(
        objects=objects,
        folder=folder,
        seed=seed,
        backend_arguments_by_service=scenario.backend_arguments_by_service,
    )
    connections = pool.Pool()
    load_caller = caller_module.Caller(pool=connections)
    progress(f"{scenario.title}: starting {2 * len(cluster.servers_by_name) + 1} processes")
    async with cluster:
        progress(f"{scenario.title}: load of {scenario.rate_per_s:g} calls/s for {duration_s:g} s")
        began = time.monotonic()
        observing = asyncio.create_task(_observe(cluster))
        publishing = asyncio.create_task(_publish_version(cluster, duration_s / 2, progress))
        try:
            skipped = await load.run(
                load.Load(
                    calls=scenario.calls,
                    addresses=cluster.edge_addresses,
                    rate_per_s=scenario.rate_per_s,
                    duration_s=duration_s,
                    seed=seed,
                ),
                load_caller,
            )
            await publishing
        finally:
            for task in (observing, publishing):
                task.cancel()
            await asyncio.gather(observing, publishing, return_exceptions=True)
            connections.close()
        measured_s = time.monotonic() - began
        await cluster.observe_versions()
        measuring = await measuring_log.collect(cluster)
        seen = evidence.Evidence(
            runs=cluster.runs(),
            records=tuple(load_caller.records),
            measuring_loads=measuring,
            publications=tuple(cluster.publisher.publications),
            observations=tuple(cluster.observations),
        )
    progress(
        f"{scenario.title}: checking {len(load_caller.records)} requests and {len(seen.runs)} runs"
    )
    findings = judge.judge(seen)
    kind_outcomes = _kind_outcomes(scenario, cluster, seen)
    failures = _failures(kind_outcomes, skipped, cluster)
    return outcome_module.Outcome(
        title=scenario.title,
        kind_outcomes=kind_outcomes,
        measuring_outcomes=_measuring_outcomes(cluster, measuring, measured_s),
        findings=_without_duplicates(findings),
        failures=failures,
    )


async def _observe(cluster: cluster_module.Cluster) -> None:
    while True:
        await cluster.observe_versions()
        await asyncio.sleep(_OBSERVATION_INTERVAL_S)


async def _publish_version(
    cluster: cluster_module.Cluster, after_s: float, progress: Callable[[str], None]
) -> None:
    """Publishes a new version while calls are in flight."""
    await asyncio.sleep(after_s)
    policies = {
        name: policy.model_copy(update={"queue_limit": policy.queue_limit + 1})
        for name, policy in cluster.objects.policies_by_name.items()
    }
    version = await cluster.publish(
        cluster.objects.model_copy(update={"policies_by_name": policies})
    )
    progress(f"published version {version}")
    began = time.monotonic()
    while time.monotonic() < began + 7.0:
        seen = await cluster.observe_versions()
        if len(seen) == len(cluster.nodes_by_name) and all(one.version >= version for one in seen):
            progress(f"version {version} in force everywhere after {_elapsed_ms(began)} ms")
            return
        await asyncio.sleep(0.02)


def _elapsed_ms(began: float) -> str:
    return f"{1000 * (time.monotonic() - began):.0f}"


def _kind_outcomes(
    scenario: scenario_module.Scenario,
    cluster: cluster_module.Cluster,
    seen: evidence.Evidence,
) -> tuple[outcome_module.KindOutcome, ...]:
    records_by_kind: dict[str, list[record.Record]] = collections.defaultdict(list)
    for one in seen.records:
        records_by_kind[one.kind].append(one)
    runs_by_ticket = collections.Counter(run.key for run in seen.runs if run.key)
    found = []
    for call in scenario.calls:
        records = records_by_kind[call.kind]
        servers = {one.server for one in records} & cluster.service_by_server.keys()
        services = {cluster.service_by_server[server] for server in servers}
        tickets = {one.ticket for one in records if one.ticket}
        found.append(
            outcome_module.KindOutcome(
                kind=call.kind,
                service=", ".join(sorted(services)) or "-",
                summary=summary.summarise(records),
                duplicate_runs=sum(max(0, runs_by_ticket[ticket] - 1) for ticket in tickets),
            )
        )
    return tuple(found)


def _failures(
    kind_outcomes: tuple[outcome_module.KindOutcome, ...],
    skipped: int,
    cluster: cluster_module.Cluster,
) -> tuple[str, ...]:
    failures = []
    if skipped:
        failures.append(f"{skipped} calls were not started because too many were in flight")
    for kind in kind_outcomes:
        answered, calls = kind.summary.answered, kind.summary.calls
        if answered < _MIN_ANSWERED_SHARE * max(1, calls):
            failures.append(
                f"{kind.kind}: {answered} of {calls} calls were answered; "
                f"expected at least {_MIN_ANSWERED_SHARE:.0%}"
            )
    versions_in_force = sorted({one.version for one in cluster.observations if one.version > 0})
    if versions_in_force[-1:] != [cluster.publisher.version]:
        failures.append(
            f"no node has version {cluster.publisher.version}; versions seen: {versions_in_force}"
        )
    return tuple(failures)


def _measuring_outcomes(
    cluster: cluster_module.Cluster,
    measuring: tuple[measuring_module.MeasuringLoad, ...],
    measured_s: float,
) -> tuple[outcome_module.MeasuringOutcome, ...]:
    found = []
    for service in cluster.objects.services_by_name:
        service_measuring = [
            one for one in measuring if cluster.service_by_server[one.server] == service
        ]
        server_seconds = max(1, len(service_measuring)) * measured_s
        probes = [probe for one in service_measuring for probe in one.requests]
        allowed_calls, allowed_bytes = measuring_log.measuring_budget(cluster.objects, service)
        found.append(
            outcome_module.MeasuringOutcome(
                service=service,
                calls_per_s=len(probes) / server_seconds,
                bytes_per_s=sum(size for _, size in probes) / server_seconds,
                allowed_calls_per_s=allowed_calls,
                allowed_bytes_per_s=allowed_bytes,
            )
        )
    return tuple(found)


def _without_duplicates(found: tuple[finding.Finding, ...]) -> tuple[finding.Finding, ...]:
    return tuple(dict.fromkeys(found))
