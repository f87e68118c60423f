"""Runs a scenario with real processes."""

import asyncio
import collections
import dataclasses
import pathlib
import random
import time

from laburnumford_testkit.caller import caller as caller_module
from laburnumford_testkit.caller import doubling, load, pool, record, summary
from laburnumford_testkit.judge import evidence, judge, versions
from laburnumford_testkit.processes import cluster as cluster_module
from laburnumford_testkit.processes import measuring_log
from laburnumford_testkit.scenario import actions, measures, timed_load
from laburnumford_testkit.scenario import event as event_module
from laburnumford_testkit.scenario import outcome as outcome_module
from laburnumford_testkit.scenario import script as script_module

_OBSERVATION_INTERVAL_S = 0.25
_LOOP_CHECK_INTERVAL_S = 0.02
_MAX_SHOWN_REASONS = 4
_MAX_LOOP_DELAY_S = 0.25
"""Callers and proxies run in this process, so a longer delay of its event loop raises all
latencies."""
_PROPAGATION_LIMIT_S = 7.0  # P7: a published version is in force at all nodes within this time
_START_ALLOWANCE_S = 7.0
"""Time after the start of a node in which it may have no version yet; it takes no calls then."""


async def run(script: script_module.Script, folder: pathlib.Path) -> outcome_module.Outcome:
    """Runs a scenario and checks its results.

    Args:
        script: the scenario.
        folder: existing folder for logs.
    """
    return await _Run(script, folder).run()


class _Run:
    """Runs one scenario once."""

    def __init__(self, script: script_module.Script, folder: pathlib.Path) -> None:
        self._script = script
        proxied_kinds = [
            actions.PROXIED_BY_ACTION.get(event.action, frozenset()) for event in script.events
        ]
        self._cluster = cluster_module.Cluster(
            objects=script.objects,
            folder=folder,
            seed=script.seed,
            services=script.services,
            backend_arguments_by_service={
                service: ("--service-ms", f"{median_ms:g}", "--distribution", "lognormal")
                for service, median_ms in script.service_ms_by_service.items()
            },
            proxied=frozenset().union(*proxied_kinds),
        )
        self._actions = [
            (event, actions.actions.create(event.action, cluster=self._cluster, event=event))
            for event in script.events
        ]
        self._pool = pool.Pool()
        self._callers: list[caller_module.Caller] = []
        self._blocked_intervals: list[tuple[float, float]] = []
        self._began = 0.0
        self._skipped = 0
        self._max_loop_delay_s = 0.0

    async def run(self) -> outcome_module.Outcome:
        """Starts the processes, applies loads and events, and checks the results."""
        started = time.monotonic()
        async with self._cluster:
            self._began = time.monotonic()
            tasks = [
                asyncio.create_task(self._observe()),
                asyncio.create_task(self._watch_event_loop()),
            ]
            try:
                async with asyncio.TaskGroup() as group:
                    for index, one in enumerate(self._script.loads):
                        group.create_task(self._run_load(index, one))
                    for event, action in self._actions:
                        group.create_task(self._run_event(event, action))
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                self._pool.close()
            await self._cluster.observe_versions()
            seen = await self._evidence()
        failures = [str(found) for found in dict.fromkeys(judge.judge(seen))]
        for expectation in self._script.expectations:
            failure = measures.check(expectation, seen.records, seen.runs, self._began)
            if failure:
                failures.append(failure)
        if self._max_loop_delay_s > _MAX_LOOP_DELAY_S:
            failures.append(
                f"the event loop of the runner was up to {self._max_loop_delay_s:.2f} s late; allowed: "
                f"{_MAX_LOOP_DELAY_S:g} s; latencies and shares do not describe the nodes"
            )
        if self._skipped:
            failures.append(f"{self._skipped} calls were not started: too many were in flight")
        return outcome_module.Outcome(
            figures=_figures(seen.records, self._names_by_address()),
            failures=tuple(failures),
            duration_s=time.monotonic() - started,
        )

    async def _run_load(self, index: int, one: timed_load.TimedLoad) -> None:
        await asyncio.sleep(one.begin_s)
        entry_nodes = one.entry_nodes or tuple(self._cluster.nodes_by_name)
        addresses = tuple(self._cluster.edge_address(name) for name in entry_nodes)
        seed = self._script.seed * 100 + index
        name = f"l{index}-"
        if one.kind in self._script.doubled_kinds:
            caller: caller_module.Caller = doubling.DoublingCaller(
                addresses=addresses, generator=random.Random(seed), pool=self._pool, name=name
            )
        else:
            caller = caller_module.Caller(pool=self._pool, name=name)
        self._callers.append(caller)
        self._skipped += await load.run(
            load.Load(
                calls=[self._script.calls_by_kind[one.kind]],
                addresses=addresses,
                rate_per_s=one.rate_per_s,
                duration_s=one.end_s - one.begin_s,
                seed=seed,
            ),
            caller,
        )

    async def _run_event(self, event: event_module.Event, action: actions.Action) -> None:
        await asyncio.sleep(event.begin_s)
        began = time.monotonic()
        await action.begin()
        if event.end_s is not None:
            await asyncio.sleep(max(0.0, self._began + event.end_s - time.monotonic()))
            await action.end()
        if action.blocks_propagation:
            ended = time.monotonic() if event.end_s is not None else float("inf")
            self._blocked_intervals.append((began, ended))

    async def _observe(self) -> None:
        while True:
            await self._cluster.observe_versions()
            await asyncio.sleep(_OBSERVATION_INTERVAL_S)

    async def _watch_event_loop(self) -> None:
        """Records the longest delay of the event loop of this process."""
        while True:
            slept_from = time.monotonic()
            await asyncio.sleep(_LOOP_CHECK_INTERVAL_S)
            self._max_loop_delay_s = max(
                self._max_loop_delay_s, time.monotonic() - slept_from - _LOOP_CHECK_INTERVAL_S
            )

    async def _evidence(self) -> evidence.Evidence:
        return evidence.Evidence(
            runs=self._cluster.runs(),
            records=tuple(found for caller in self._callers for found in caller.records),
            leaves=tuple(found for _, action in self._actions for found in action.leaves),
            planned_stops=tuple(self._cluster.planned_stops),
            measuring_loads=await measuring_log.collect(self._cluster),
            publications=tuple(
                self._shift_publication(one) for one in self._cluster.publisher.publications
            ),
            observations=self._observations(),
        )

    def _names_by_address(self) -> dict[str, str]:
        return {self._cluster.edge_address(name): name for name in self._cluster.nodes_by_name}

    def _shift_publication(self, publication: versions.Publication) -> versions.Publication:
        """Returns the publication, dated to the end of a fault that may have blocked its propagation."""
        at = publication.at
        for began, ended in sorted(self._blocked_intervals):
            if began - _PROPAGATION_LIMIT_S <= at < ended:
                at = ended
        return dataclasses.replace(publication, at=at)

    def _observations(self) -> tuple[versions.Observation, ...]:
        """Returns the observations without those of started nodes that may have no version yet."""
        found = []
        first_without_version_by_node: dict[str, float] = {}
        for one in sorted(self._cluster.observations, key=lambda seen: seen.at):
            if one.version > 0:
                first_without_version_by_node.pop(one.node, None)
                found.append(one)
            elif (
                one.at - first_without_version_by_node.setdefault(one.node, one.at)
                > _START_ALLOWANCE_S
            ):
                found.append(one)
        return tuple(found)


def _figures(
    records: tuple[record.Record, ...], name_by_address: dict[str, str]
) -> tuple[str, ...]:
    lines = []
    for kind in sorted({one.kind for one in records}):
        of_kind = [one for one in records if one.kind == kind]
        seen = summary.summarise(of_kind)
        lines.append(
            f"{kind}: {seen.calls} calls, {seen.answered} answered, {seen.refused} refused, "
            f"{seen.unknown} unknown, p50 {seen.p50_ms:.1f} ms, p99 {seen.p99_ms:.1f} ms"
        )
        lines += _reasons(of_kind, name_by_address)
    return tuple(lines)


def _reasons(records: list[record.Record], name_by_address: dict[str, str]) -> list[str]:
    """Returns the most frequent reasons of unanswered calls, with the node that got the request."""
    last_by_call = {one.call: one for one in records}
    counts = collections.Counter(
        (one.outcome or "unknown", one.reason or one.error, name_by_address[one.target])
        for one in last_by_call.values()
        if one.outcome or one.answered is None
    )
    return [
        f"    {count} {outcome} ({reason}) by the node of {target}"
        for (outcome, reason, target), count in counts.most_common(_MAX_SHOWN_REASONS)
    ]
