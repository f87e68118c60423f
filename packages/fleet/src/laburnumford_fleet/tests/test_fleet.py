"""Tests of several Fleet objects on loopback."""

import json
import time

import pytest

from laburnumford_fleet.tests import harness


@pytest.fixture
async def cluster(stand_in):
    """Returns a cluster of twelve nodes in three zones, none of them started."""
    found = harness.Cluster(stand_in, 12)
    yield found
    await found.stop(*found.fleets)


async def test_one_node_reads_and_watches_the_platform(cluster):
    """Guards against a lone node that has no version after its start, or misses the next."""
    await cluster.publish()
    await cluster.start(0, seeds=())
    node = cluster.fleets[0]
    assert node.version == 1
    # The eleven neighbours of the published set do not run.
    assert not node.confirmed
    assert node.status()["source"] == "platform"
    await cluster.publish()
    await harness.until(lambda: node.version == 2)
    assert cluster.applied[0] == [1, 2]
    assert node.live("server-0")
    assert not node.live("server-12")
    json.dumps(node.status())


async def test_start_is_bounded_without_platform_and_peers(cluster):
    """Guards against a node that never starts because nobody answers."""
    await cluster.stand_in.set_mode("down")
    started = time.monotonic()
    await cluster.start(0, seeds=(1,))
    assert time.monotonic() - started < 4.0
    assert cluster.fleets[0].version == 0


async def test_change_reaches_twelve_nodes(cluster):
    """Guards against nodes that a change does not reach within 7 s."""
    await cluster.publish()
    await cluster.start(*range(12))
    await harness.until(lambda: cluster.versions() == {1} and cluster.connected())
    assert all(node.confirmed for node in cluster.fleets.values())
    for version in (2, 3):
        await cluster.publish()
        assert await harness.until(lambda: cluster.versions() == {version}) < 7.0  # noqa: B023
    assert all(found == sorted(set(found)) for found in cluster.applied.values())
    await harness.until(
        lambda: all(
            node.status()["nodes_by_version"].get("3", 0) >= 6 for node in cluster.fleets.values()
        ),
        60.0,
    )
