"""Tests of several Fleet objects on loopback."""

import json
import time

import pytest

from laburnumford_fleet import fleet, platform_mode, propagation, readers, vm
from laburnumford_fleet.tests import harness


@pytest.fixture
async def cluster(fake_platform):
    """Yields a cluster of twelve nodes in three zones, none of them started."""
    found = harness.Cluster(fake_platform, 12)
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
    await harness.wait_until(lambda: node.version == 2)
    assert cluster.applied[0] == [1, 2]
    assert node.live("server-0")
    assert not node.live("server-12")
    json.dumps(node.status())


async def test_start_is_bounded_without_platform_and_peers(cluster):
    """Guards against a start that never ends because neither platform nor peers answer."""
    await cluster.fake_platform.set_mode("down")
    started = time.monotonic()
    await cluster.start(0, seeds=(1,))
    assert time.monotonic() - started < 4.0
    assert cluster.fleets[0].version == 0


async def test_change_reaches_twelve_nodes(cluster, monkeypatch):
    """Guards against nodes that a change does not reach within 7 s."""
    monkeypatch.setattr(propagation, "_EXCHANGE_INTERVAL_S", 0.5)
    await cluster.publish()
    await cluster.start(*range(12))
    await harness.wait_until(lambda: cluster.versions() == {1} and cluster.connected())
    assert all(node.confirmed for node in cluster.fleets.values())
    for version in (2, 3):
        await cluster.publish()
        assert await harness.wait_until(lambda: cluster.versions() == {version}) < 7.0  # noqa: B023
    assert all(found == sorted(set(found)) for found in cluster.applied.values())
    await harness.wait_until(
        lambda: all(
            node.status()["nodes_by_version"] == {"3": 12} for node in cluster.fleets.values()
        ),
        30.0,
    )


async def test_change_is_propagated_by_nodes_that_do_not_read_the_platform(cluster, monkeypatch):
    """Guards against nodes that learn of a change only from the platform."""
    monkeypatch.setattr(readers, "count", lambda **_: 1)
    await cluster.publish()
    await cluster.start(*range(12))
    await harness.wait_until(lambda: cluster.versions() == {1} and cluster.connected())
    await harness.wait_until(
        lambda: sum(_reads_head(node) for node in cluster.fleets.values()) == 1
    )
    await cluster.publish()
    assert await harness.wait_until(lambda: cluster.versions() == {2}) < 7.0
    sources = [node.status()["source"] for node in cluster.fleets.values()]
    assert sources.count("platform") == 1


async def test_node_without_answering_neighbours_reads_the_platform(cluster, monkeypatch):
    """Guards against a node without peers that keeps an old version although the platform answers."""
    monkeypatch.setattr(readers, "is_reader", lambda **_: False)
    monkeypatch.setattr(fleet, "_PLATFORM_FALLBACK_AFTER_S", 0.5)
    await cluster.publish()
    await cluster.start(0, seeds=())
    await harness.wait_until(lambda: cluster.fleets[0].version == 1)
    await cluster.publish()
    await harness.wait_until(lambda: cluster.fleets[0].version == 2, 20.0)
    assert not cluster.fleets[0].confirmed


async def test_starting_node_gets_a_snapshot_from_its_peers(cluster):
    """Guards against a node that cannot start from peers whose delta log begins at a later version."""
    for _ in range(20):
        await cluster.publish()
    await cluster.start(0, 1)
    await harness.wait_until(lambda: cluster.versions() == {20})
    await cluster.fake_platform.set_mode("down")
    await cluster.start(2)
    assert cluster.fleets[2].version == 20
    assert cluster.fleets[2].confirmed
    assert cluster.applied[2] == [17, 20]


async def test_deltas_after_a_snapshot_do_not_wait_for_the_list_of_vms(cluster):
    """Guards against 10 s per delta when the list of VMs does not tell the size of the fleet."""
    for _ in range(20):
        await cluster.publish()
    await cluster.start(0)
    await harness.wait_until(lambda: cluster.versions() == {20}, 5.0)


async def test_listed_leaving_is_reported_to_nodes_that_do_not_read_the_list(cluster, monkeypatch):
    """Guards against new requests to a VM that only readers know to be leaving (invariant P5)."""
    await cluster.publish()
    await cluster.start(*range(12))
    await harness.wait_until(lambda: cluster.versions() == {1} and cluster.connected())
    cluster.fleets[3]._view.apply_list(
        [vm.Vm(name="server-5", zone="zone-2", leaving=True)], now=time.monotonic()
    )
    cluster.fleets[3]._on_list(12)
    await harness.wait_until(
        lambda: not any(node.live("server-5") for node in cluster.fleets.values()), 3.0
    )
    assert cluster.fleets[5].leaving
    assert not cluster.fleets[6].leaving


def _reads_head(node) -> bool:
    return node._mode() is platform_mode.PlatformMode.WATCH
