"""Tests with faults of the platform, the network and the nodes, on several Fleet objects."""

import asyncio
import time

import grpc.aio
import msgspec
import pytest

from laburnumford_fleet import channel, errors, overlay, readers
from laburnumford_fleet.bench import sets
from laburnumford_fleet.tests import harness
from laburnumford_objects import bundle

_PREFIX = bundle.key_prefix(sets.WORKSPACE)


@pytest.fixture
async def cluster(fake_platform):
    """Yields a cluster of six running nodes in three zones at version 1."""
    found = harness.Cluster(fake_platform, 6)
    await found.publish()
    await found.start(*range(6))
    await harness.wait_until(lambda: found.versions() == {1} and found.connected())
    yield found
    await found.stop(*found.fleets)


@pytest.fixture
def split(cluster, monkeypatch):
    """Returns a function that partitions the cluster: calls between two sides time out.

    The function takes the indexes of the nodes of one side.
    """
    side_by_port = dict.fromkeys(cluster.ports, 0)
    call = channel.Channel.call

    async def faulty_call(self, method, request, *, timeout_s):
        source = next(
            index for index, found in cluster.fleets.items() if found._meter is self._counter
        )
        target = int(self._address.rpartition(":")[2])
        if side_by_port[cluster.ports[source]] != side_by_port[target]:
            await asyncio.sleep(timeout_s)
            raise errors.PeerError(f"neighbour {self._address}: partition of the test")
        return await call(self, method, request, timeout_s=timeout_s)

    monkeypatch.setattr(channel.Channel, "call", faulty_call)

    def apply(indexes):
        for index, port in enumerate(cluster.ports):
            side_by_port[port] = int(index in indexes)

    return apply


def _rejected(cluster, index):
    return cluster.fleets[index].status()["rejected"]


async def test_nodes_keep_the_version_while_the_platform_is_down(cluster):
    """Guards against nodes that drop their version, or do not read again once the platform is back."""
    await cluster.fake_platform.set_mode("down")
    await harness.wait_until(
        lambda: cluster.fleets[0].status()["platform"]["failed_age_s"] is not None
    )
    assert cluster.versions() == {1}
    # A node that restarts learns the version from its peers alone.
    await cluster.stop(3)
    await cluster.start(3)
    assert cluster.fleets[3].version == 1
    assert cluster.fleets[3].confirmed
    await cluster.fake_platform.set_mode("ok")
    await cluster.publish()
    await harness.wait_until(lambda: cluster.versions() == {2}, 30.0)


async def test_restarted_node_ignores_the_older_version_of_a_stale_platform(cluster):
    """Guards against a restart that applies an older version than that of the peers (invariant P7)."""
    old = dict(cluster.values)
    await cluster.publish()
    await harness.wait_until(lambda: cluster.versions() == {2})
    await cluster.fake_platform.publish({f"{_PREFIX}head": old[f"{_PREFIX}head"]})
    await cluster.stop(4)
    await cluster.start(4)
    assert cluster.fleets[4].version == 2
    assert cluster.versions() == {2}
    assert all(found == sorted(set(found)) for found in cluster.applied.values())
    await cluster.publish()
    await harness.wait_until(lambda: cluster.versions() == {3})


async def test_incomplete_change_is_not_applied_by_any_node(cluster):
    """Guards against applying a change whose delta is missing or truncated on the platform."""
    values = cluster.make_next_version()
    await cluster.fake_platform.publish({f"{_PREFIX}head": values[f"{_PREFIX}head"]})
    await harness.wait_until(lambda: any(_rejected(cluster, index) for index in range(6)))
    key = f"{_PREFIX}delta/2"
    await cluster.fake_platform.publish({key: values[key][:-2]})
    await harness.wait_until(
        lambda: any(
            "delta/2" not in entry["object"]
            for index in range(6)
            for entry in _rejected(cluster, index)
        ),
        30.0,
    )
    assert cluster.versions() == {1}
    [entry] = next(filter(None, (_rejected(cluster, index) for index in range(6))))
    assert (entry["version"], entry["node"]) == (2, "platform")
    await cluster.fake_platform.publish({key: values[key]})
    await harness.wait_until(lambda: cluster.versions() == {2}, 40.0)


async def test_partitioned_sides_agree_after_healing(cluster, split):
    """Guards against sides that stop in a partition, or disagree for over 12 s after it heals."""
    split({0, 1, 2})
    await cluster.publish()
    await harness.wait_until(lambda: cluster.versions() == {2})
    await cluster.fake_platform.set_mode("down")
    # One node of each side restarts, so the other side must learn of a new incarnation.
    for index in (2, 5):
        await cluster.stop(index)
        await cluster.start(index, seeds=(0, 1) if index == 2 else (3, 4))
        assert cluster.fleets[index].version == 2
    split(())
    took_s = await harness.wait_until(
        lambda: (
            cluster.connected()
            and all(
                one._view.incarnation(f"server-{index}") in (0, other.incarnation)
                and one.live(f"server-{index}")
                for one in cluster.fleets.values()
                for index, other in cluster.fleets.items()
            )
        ),
        20.0,
    )
    assert took_s < 12.0


async def test_side_without_the_platform_catches_up_after_healing(cluster, split):
    """Guards against a side that keeps an older version after healing as its platform is stale."""
    await cluster.fake_platform.set_mode("stale")
    split({0, 1, 2})
    values = cluster.make_next_version()
    source = cluster.fleets[0]
    head = values[f"{_PREFIX}head"]
    source._store.apply_deltas(
        [values[f"{_PREFIX}delta/2"]],
        bundle.verify_head(source._store.current, head),
        node="test",
    )
    source._after_apply()
    await harness.wait_until(
        lambda: [cluster.fleets[n].version for n in range(6)] == [2] * 3 + [1] * 3
    )
    split(())
    assert await harness.wait_until(lambda: cluster.versions() == {2}, 20.0) < 12.0


async def test_restart_while_a_version_propagates(cluster):
    """Guards against a change that does not reach other nodes because one restarts."""
    stopping = asyncio.create_task(cluster.stop(1))
    await cluster.publish()
    await stopping
    await cluster.start(1)
    await harness.wait_until(lambda: cluster.versions() == {2} and len(cluster.fleets) == 6)


async def test_leaving_node_is_known_within_3_s(cluster):
    """Guards against new requests to a leaving server after 3 s (invariant P5)."""
    cluster.fleets[2].leave()
    await harness.wait_until(
        lambda: (
            not any(
                found.live("server-2") for index, found in cluster.fleets.items() if index != 2
            )
        ),
        3.0,
    )
    assert "server-2" in cluster.fleets[0].status()["leaving"]


async def test_platform_list_is_merged_into_the_view(cluster):
    """Guards against a list of VMs that is read but not merged."""
    cluster.fake_platform.vms = [
        {"name": f"server-{index}", "zone": "z", "state": "leaving" if index == 1 else "live"}
        for index in range(6)
    ]
    await harness.wait_until(lambda: not cluster.fleets[0].live("server-1"), 15.0)


async def test_malformed_control_calls_are_rejected(cluster):
    """Guards against malformed or oversized requests that end a task or change the state."""
    before = cluster.fleets[0].status()
    async with grpc.aio.insecure_channel(f"127.0.0.1:{cluster.ports[0]}") as connection:
        for method in ("Announce", "Exchange", "Fetch"):
            for data in (b"", b"\xc1", b"\x91" * 9000, msgspec.msgpack.encode(["x", -1])):
                with pytest.raises(grpc.aio.AioRpcError) as caught:
                    await connection.unary_unary(f"/{channel.SERVICE}/{method}")(data, timeout=2.0)
                assert caught.value.code().name == "INVALID_ARGUMENT"
        with pytest.raises(grpc.aio.AioRpcError):
            await connection.unary_unary(f"/{channel.SERVICE}/Announce")(bytes(2_000_000))
    assert cluster.fleets[0].status()["version"] == before["version"]
    await cluster.publish()
    await harness.wait_until(lambda: cluster.versions() == {2})


async def test_close_ends_all_tasks(cluster):
    """Guards against tasks that outlive their node."""
    await cluster.stop(*range(6))
    own = [
        task
        for task in asyncio.all_tasks()
        if task.get_name().startswith(("fleet ", "neighbour "))
    ]
    assert own == []


async def test_partition_without_readers_reads_the_platform(fake_platform):
    """Guards against two nodes that reach only each other and the platform but never read it."""
    cluster = harness.Cluster(fake_platform, 40)
    zones_by_name = {f"server-{index}": f"zone-{index % 3}" for index in range(40)}
    epoch = readers.epoch(wall_s=time.time())
    reader_names = frozenset().union(
        *(
            readers.choose(names=zones_by_name, zones=3, epoch_number=epoch + number)
            for number in (0, 1)
        )
    )
    links = overlay.links(zones_by_name=zones_by_name)
    pair = next(
        (name, other)
        for name in sorted(zones_by_name.keys() - reader_names)
        for other in sorted(links[name] - reader_names)
    )
    indexes = [int(name.removeprefix("server-")) for name in pair]
    await cluster.publish()
    await cluster.start(*indexes, seeds=tuple(indexes))
    try:
        await harness.wait_until(
            lambda: cluster.versions() == {1} and all(map(_is_connected, cluster.fleets.values()))
        )
        await cluster.publish()
        await harness.wait_until(lambda: cluster.versions() == {2}, 20.0)
    finally:
        await cluster.stop(*indexes)


def _is_connected(node) -> bool:
    return any(entry["connected"] for entry in node.status()["neighbours"])
