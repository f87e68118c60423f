"""Tests that versions spread everywhere in time and never go back, under faults."""

import asyncio
import time

import pytest

from laburnumford_testkit.faultproxy import faults
from laburnumford_testkit.judge import evidence, judge
from laburnumford_testkit.platform import mode
from laburnumford_testkit.processes import cluster

_SEED = 5
_SERVICES = ["accounts", "hallmark-issuing"]
_REACHABLE_S = 7.0
_POLL_S = 0.1
_HELD = faults.Faults(
    to_target=faults.DirectionFaults(pause=True), to_caller=faults.DirectionFaults(pause=True)
)


async def _publish(running):
    """Publishes the set with a changed timeout and returns the version."""
    policies = dict(running.objects.policies_by_name)
    lookup = policies["lookup"]
    policies["lookup"] = lookup.model_copy(update={"timeout_ms": lookup.timeout_ms + 1})
    return await running.publish(running.objects.model_copy(update={"policies_by_name": policies}))


async def _observe(running, names):
    """Records and returns the versions in force at some nodes."""
    seen = await asyncio.gather(*(running.node(name).observe_version() for name in names))
    running.observations.extend(seen)
    return {one.version for one in seen}


async def _until_in_force(running, version, names=None, timeout_s=_REACHABLE_S):
    """Waits until nodes have a version in force; the test fails after `timeout_s`."""
    names = list(names or running.nodes_by_name)
    deadline = time.monotonic() + timeout_s
    while (seen := await _observe(running, names)) != {version}:
        assert time.monotonic() < deadline, (
            f"versions {seen} at {names}, expected {version}\n{cluster.log_tails(running)}"
        )
        await asyncio.sleep(_POLL_S)


async def _stays(running, version, names=None, seconds=2.0):
    """Checks that a version stays in force at nodes for some time."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        assert await _observe(running, list(names or running.nodes_by_name)) == {version}
        await asyncio.sleep(_POLL_S)


def _judge(running, propagation_s=None):
    """Checks that no node went back, and the time of the spread if all nodes were reachable."""
    findings = judge.judge(
        evidence.Evidence(
            publications=tuple(running.publisher.publications),
            observations=tuple(running.observations),
            propagation_s=propagation_s,
        )
    )
    assert not findings, findings


async def test_changes_are_in_force_everywhere_in_time(run_cluster):
    """Guards against a change that some node gets late or not at all."""
    async with run_cluster(services=_SERVICES, seed=_SEED) as running:
        await _until_in_force(running, 1)
        for _ in range(3):
            await _until_in_force(running, await _publish(running))
        _judge(running, propagation_s=_REACHABLE_S)


@pytest.mark.parametrize(
    "wanted", [mode.Mode.DOWN, mode.Mode.STALE, mode.Mode.HALF], ids=lambda found: found.value
)
async def test_version_stays_until_the_platform_shows_the_whole_change(run_cluster, wanted):
    """Guards against a node without a version, or with half a change, while the platform fails."""
    async with run_cluster(services=_SERVICES, seed=_SEED) as running:
        await _until_in_force(running, 1)
        await running.platform.set_mode(wanted)
        version = await _publish(running)
        await _stays(running, 1, seconds=4.0)
        await running.platform.set_mode(mode.Mode.OK)
        await _until_in_force(running, version)
        _judge(running)


async def test_platform_that_goes_backwards_takes_no_node_back(run_cluster):
    """Guards against an older version in force, also at a node that restarts meanwhile."""
    async with run_cluster(services=_SERVICES, seed=_SEED) as running:
        version = await _publish(running)
        await _until_in_force(running, version)
        await running.platform.set_mode(mode.Mode.BACKWARDS)
        restarted = running.nodes_by_name["accounts-1"]
        restarted.kill()
        await restarted.start(timeout_s=30.0)
        await _until_in_force(running, version)
        await _stays(running, version)
        await running.platform.set_mode(mode.Mode.OK)
        await _until_in_force(running, await _publish(running))
        _judge(running)


async def test_part_cut_off_from_the_platform_catches_up_after_healing(run_cluster):
    """Guards against a partition after which one side keeps its old version."""
    proxied = frozenset({"peer", "control", "platform"})
    async with run_cluster(services=_SERVICES, seed=_SEED, proxied=proxied) as running:
        await _until_in_force(running, 1)
        cut_off = [name for name in running.nodes_by_name if name.startswith("accounts")]
        others = [name for name in running.nodes_by_name if name not in cut_off]
        running.partition(cut_off, others)
        for name in cut_off:
            running.proxies_by_name["platform", name].set_faults(_HELD)
        version = await _publish(running)
        await _until_in_force(running, version, others)
        await _stays(running, 1, cut_off)
        running.heal()
        for name in cut_off:
            running.proxies_by_name["platform", name].set_faults(faults.Faults())
        await _until_in_force(running, version)
        _judge(running)


async def test_node_that_was_paused_catches_up_without_the_platform(run_cluster):
    """Guards against two faults at once: a paused node wakes while the platform is down."""
    async with run_cluster(services=_SERVICES, seed=_SEED) as running:
        await _until_in_force(running, 1)
        paused = running.nodes_by_name["accounts-1"]
        paused.pause()
        others = [name for name in running.nodes_by_name if name != "accounts-1"]
        try:
            version = await _publish(running)
            await _until_in_force(running, version, others)
            await running.platform.set_mode(mode.Mode.DOWN)
            await _stays(running, version, others, seconds=4.0)
        finally:
            paused.resume()
        await _until_in_force(running, version)
        _judge(running)


async def test_node_that_restarts_during_a_spread_gets_the_version(run_cluster):
    """Guards against a node that starts with the version before a change and stays there."""
    async with run_cluster(services=_SERVICES, seed=_SEED) as running:
        await _until_in_force(running, 1)
        restarted = running.nodes_by_name["accounts-1"]
        publishing = asyncio.create_task(_publish(running))
        restarted.kill()
        version = await publishing
        await restarted.start(timeout_s=30.0)
        await _until_in_force(running, version)
        _judge(running)
