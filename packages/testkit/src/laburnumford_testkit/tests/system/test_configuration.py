"""Tests that versions propagate to all nodes in time and never revert, under faults."""

import asyncio
import time

import pytest

from laburnumford_testkit.faultproxy import faults
from laburnumford_testkit.judge import evidence, judge
from laburnumford_testkit.platform import mode
from laburnumford_testkit.processes import cluster

_SEED = 5
_SERVICES = ["accounts", "hallmark-issuing"]
_PROPAGATION_LIMIT_S = 7.0
_POLL_INTERVAL_S = 0.1
_PARTITIONED = faults.Faults(
    to_target=faults.DirectionFaults(pause=True), to_caller=faults.DirectionFaults(pause=True)
)


async def _publish(running):
    """Publishes the object set with a changed timeout and returns its version."""
    policies = dict(running.objects.policies_by_name)
    lookup = policies["lookup"]
    policies["lookup"] = lookup.model_copy(update={"timeout_ms": lookup.timeout_ms + 1})
    return await running.publish(running.objects.model_copy(update={"policies_by_name": policies}))


async def _observe_versions(running, names):
    """Records the versions in force at the named nodes and returns the distinct ones."""
    seen = await asyncio.gather(*(running.node(name).observe_version() for name in names))
    running.observations.extend(seen)
    return {one.version for one in seen}


async def _wait_until_in_force(running, version, names=None, timeout_s=_PROPAGATION_LIMIT_S):
    """Waits until the named nodes (default: all) have a version in force.

    The test fails after `timeout_s`.
    """
    names = list(names or running.nodes_by_name)
    deadline = time.monotonic() + timeout_s
    while (seen := await _observe_versions(running, names)) != {version}:
        assert time.monotonic() < deadline, (
            f"versions {seen} at {names}, expected {version}\n{cluster.log_tails(running)}"
        )
        await asyncio.sleep(_POLL_INTERVAL_S)


async def _check_stays_in_force(running, version, names=None, duration_s=2.0):
    """Checks that a version stays in force at the named nodes (default: all) for `duration_s`."""
    until = time.monotonic() + duration_s
    while time.monotonic() < until:
        assert await _observe_versions(running, list(names or running.nodes_by_name)) == {version}
        await asyncio.sleep(_POLL_INTERVAL_S)


def _check_versions(running, propagation_limit_s=None):
    """Checks that no node reverted, and the propagation time if a limit is given.

    A limit holds only if all nodes were reachable all the time.
    """
    findings = judge.judge(
        evidence.Evidence(
            publications=tuple(running.publisher.publications),
            observations=tuple(running.observations),
            propagation_limit_s=propagation_limit_s,
        )
    )
    assert not findings, findings


async def test_changes_are_in_force_at_all_nodes_in_time(run_cluster):
    """Guards against a change that reaches a node too late or not at all."""
    async with run_cluster(services=_SERVICES, seed=_SEED) as running:
        await _wait_until_in_force(running, 1)
        for _ in range(3):
            await _wait_until_in_force(running, await _publish(running))
        _check_versions(running, propagation_limit_s=_PROPAGATION_LIMIT_S)


@pytest.mark.parametrize(
    "platform_mode", [mode.Mode.DOWN, mode.Mode.STALE, mode.Mode.HALF], ids=lambda one: one.value
)
async def test_version_stays_until_the_platform_shows_the_complete_change(
    run_cluster, platform_mode
):
    """Guards against a node without a version, or with half a change, during a platform fault."""
    async with run_cluster(services=_SERVICES, seed=_SEED) as running:
        await _wait_until_in_force(running, 1)
        await running.platform.set_mode(platform_mode)
        version = await _publish(running)
        await _check_stays_in_force(running, 1, duration_s=4.0)
        await running.platform.set_mode(mode.Mode.OK)
        await _wait_until_in_force(running, version)
        _check_versions(running)


async def test_older_version_on_the_platform_reverts_no_node(run_cluster):
    """Guards against an older version in force, also at a node that restarts meanwhile.

    The platform shows older values, as after a restore from a backup.
    """
    async with run_cluster(services=_SERVICES, seed=_SEED) as running:
        version = await _publish(running)
        await _wait_until_in_force(running, version)
        await running.platform.set_mode(mode.Mode.BACKWARDS)
        restarted = running.nodes_by_name["accounts-1"]
        restarted.kill()
        await restarted.start(timeout_s=30.0)
        await _wait_until_in_force(running, version)
        await _check_stays_in_force(running, version)
        await running.platform.set_mode(mode.Mode.OK)
        await _wait_until_in_force(running, await _publish(running))
        _check_versions(running)


async def test_partitioned_nodes_catch_up_after_healing(run_cluster):
    """Guards against nodes that keep their old version after a partition.

    The nodes of one service reach neither the platform nor the other nodes.
    """
    proxied = frozenset({"peer", "control", "platform"})
    async with run_cluster(services=_SERVICES, seed=_SEED, proxied=proxied) as running:
        await _wait_until_in_force(running, 1)
        partitioned = [name for name in running.nodes_by_name if name.startswith("accounts")]
        others = [name for name in running.nodes_by_name if name not in partitioned]
        running.partition(partitioned, others)
        for name in partitioned:
            running.proxies_by_name["platform", name].set_faults(_PARTITIONED)
        version = await _publish(running)
        await _wait_until_in_force(running, version, others)
        await _check_stays_in_force(running, 1, partitioned)
        running.heal()
        for name in partitioned:
            running.proxies_by_name["platform", name].set_faults(faults.Faults())
        await _wait_until_in_force(running, version)
        _check_versions(running)


async def test_paused_node_catches_up_without_the_platform(run_cluster):
    """Guards against a node that resumes after a pause and keeps its old version.

    Two faults coincide: the platform is down at that time, so the node must get the version
    from other nodes.
    """
    async with run_cluster(services=_SERVICES, seed=_SEED) as running:
        await _wait_until_in_force(running, 1)
        paused = running.nodes_by_name["accounts-1"]
        paused.pause()
        others = [name for name in running.nodes_by_name if name != "accounts-1"]
        try:
            version = await _publish(running)
            await _wait_until_in_force(running, version, others)
            await running.platform.set_mode(mode.Mode.DOWN)
            await _check_stays_in_force(running, version, others, duration_s=4.0)
        finally:
            paused.resume()
        await _wait_until_in_force(running, version)
        _check_versions(running)


async def test_node_that_restarts_during_propagation_gets_the_version(run_cluster):
    """Guards against a node that starts with the version before a change and keeps it."""
    async with run_cluster(services=_SERVICES, seed=_SEED) as running:
        await _wait_until_in_force(running, 1)
        restarted = running.nodes_by_name["accounts-1"]
        publishing = asyncio.create_task(_publish(running))
        restarted.kill()
        version = await publishing
        await restarted.start(timeout_s=30.0)
        await _wait_until_in_force(running, version)
        _check_versions(running)
