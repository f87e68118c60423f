"""Tests of nodes whose store comes back from an older copy."""

import asyncio
import random

import pytest

from laburnumford_mesh import directory, frames, record, store_sync, zone_evacuation
from laburnumford_mesh.tests import conftest, waiting

KEY = "op/evacuate/y"
EVACUATION = zone_evacuation.ZoneEvacuation(zone="y")


class SyncedNode:
    """The reading of the store of one node, and what its directory makes of it.

    Attributes:
        sync: reads the store.
        directory: configuration, servers and evacuations in force.
    """

    def __init__(self, source, objects, log, rank=0):
        self.directory = directory.Directory(
            decode=lambda found: objects[found.value], log=log, on_change=lambda: None
        )
        self.sync = store_sync.StoreSync(
            source=source,
            rank=lambda: rank,
            on_records=lambda records, after_outage: self.directory.apply(
                records, after_outage=after_outage
            ),
            log=log,
            generator=random.Random(rank),
        )

    def pull_from(self, peer):
        """Pulls from another node as after a digest; returns whether it was asked."""
        seen = (peer.sync.revision, 0.0, peer.sync.history_revision, peer.sync.era)
        if not self.sync.observe_peer_revision(*seen):
            return False
        wanted = self.sync.wanted()
        records, is_snapshot = peer.sync.changes_since(wanted.revision, wanted.era)
        self.sync.apply_peer_records(
            records, peer.sync.revision, 0.0, is_snapshot=is_snapshot, era=peer.sync.era
        )
        return True

    @property
    def zones(self):
        """Evacuated zones."""
        return self.directory.evacuated_zones


class World:
    """A store and the decoded objects of its values.

    Attributes:
        store: the store.
        objects: decoded objects by value.
    """

    def __init__(self):
        self.store = conftest.FakeStore()
        self.objects = {}

    def put(self, key, decoded):
        """Writes a decoded object under a key; None removes it."""
        value = None if decoded is None else b"%d" % len(self.objects)
        self.objects[value] = decoded
        self.store.put(key, value)


@pytest.fixture
def world():
    """Returns a store with a configuration."""
    made = World()
    made.put("op/config", conftest.make_configuration(6))
    return made


@pytest.fixture
async def start(world, log):
    """Returns a function that starts the reading of a node of a given rank."""
    tasks = []

    def start_one(rank=0):
        made = SyncedNode(world.store, world.objects, log, rank)
        tasks.append(asyncio.create_task(made.sync.run()))
        return made

    yield start_one
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest.fixture
async def reader(world, start):
    """Returns a node that has seen an evacuation which the store has lost since."""
    made = start()
    await waiting.until(lambda: made.directory.configuration)
    copied = world.store.copy()
    world.put("op/config", conftest.make_configuration(7))
    world.put(KEY, EVACUATION)
    await waiting.until(lambda: made.zones)
    world.store.roll_back(copied)
    await waiting.until(lambda: made.sync.era == 1)
    return made


async def test_lost_evacuation_and_newer_configuration_stay_in_force(reader, world, tmp_path):
    """Guards against an evacuation that is forgotten and a configuration that goes back."""
    await asyncio.sleep(0.3)
    reader.sync.sweep()
    assert reader.zones == {"y"}
    assert reader.directory.configuration.version == 7
    assert "store_era_changed" in (tmp_path / "log").read_text(encoding="utf-8")
    world.put(KEY, EVACUATION)
    await waiting.until(lambda: reader.sync.revision == world.store.revision)
    reader.sync._era_grace_until_s = 0.0
    reader.sync.sweep()
    assert reader.zones == {"y"}


async def test_evacuation_that_is_not_written_again_ends(reader):
    """Guards against a zone that stays unused because nobody removes a key that is lost."""
    assert reader.zones == {"y"}
    reader.sync._era_grace_until_s = 0.0
    reader.sync.sweep()
    assert not reader.zones


async def test_evacuation_that_is_removed_in_the_new_era_ends(world, reader, monkeypatch):
    """Guards against a removal that is lost because the key is kept from an older era."""
    world.put(KEY, EVACUATION)
    await waiting.until(lambda: reader.sync.revision == world.store.revision)
    reader.sync._era_grace_until_s = 0.0
    reader.sync.sweep()
    world.put(KEY, None)
    await waiting.until(lambda: not reader.zones)


async def test_reused_revisions_are_read_again(world, start):
    """Guards against lost values: a watch succeeds if the revisions have passed the old ones."""
    made = start()
    await waiting.until(lambda: made.directory.configuration)
    copied = world.store.copy()
    world.put("servers/a", conftest.make_entry("a", "1.1.1.1:1"))
    await waiting.until(lambda: made.directory.servers())
    world.store.down = True
    world.store.roll_back(copied)
    world.put("servers/b", conftest.make_entry("b", "1.1.1.2:1"))
    world.put("servers/c", conftest.make_entry("c", "1.1.1.3:1"))
    assert world.store.revision > made.sync.revision
    world.store.down = False
    await waiting.until(lambda: len(made.directory.servers()) == 3)
    assert made.sync.era == 1


async def test_answer_of_an_older_era_changes_nothing(world, reader):
    """Guards against values of an older era that replace those of a newer one."""
    position = (reader.sync.era, reader.sync.revision)
    world.store.era = 0
    world.put("op/config", conftest.make_configuration(9))
    reads = reader.sync.read_count
    await waiting.until(lambda: reader.sync.read_count > reads + 1)
    assert (reader.sync.era, reader.sync.revision) == position
    assert reader.directory.configuration.version == 7


async def test_node_that_missed_the_change_learns_it_from_a_peer(world, reader, start):
    """Guards against a node that is cut off from the store and stays in the older era."""
    other = start(rank=5)
    other.sync._source = conftest.FakeStore()
    other.sync._source.down = True
    older = [record.Record("op/config", 2, b"0")]
    assert world.objects[b"0"].version == 6
    other.sync.apply_peer_records(older, 2, 2.0, is_snapshot=True)
    assert other.pull_from(reader)
    assert other.sync.era == 1
    assert other.zones == {"y"}
    assert other.directory.configuration.version == 7
    assert not reader.pull_from(other)


async def test_changes_of_another_era_are_not_applied(reader):
    """Guards against changes that a peer sent before it learned of the change of the era."""
    found = [record.Record("op/config", 999, b"0")]
    reader.sync.apply_peer_records(found, 999, 0.0, is_snapshot=False, era=0)
    reader.sync.apply_peer_records(found, 999, 0.0, is_snapshot=False, era=2)
    assert reader.sync.era == 1
    assert reader.sync.revision < 999


async def test_node_that_starts_and_reads_the_store_learns_what_it_has_lost(reader, start):
    """Guards against a restarted node that sends requests to a zone whose evacuation was lost.

    The node has read the store itself, and the reader is not ahead of it.
    """
    started = start()
    await waiting.until(lambda: started.directory.configuration)
    assert not started.zones
    assert started.directory.configuration.version == 6
    assert started.sync.wanted() == frames.Pull(0)
    assert started.pull_from(reader)
    assert started.zones == {"y"}
    assert started.directory.configuration.version == 7
    assert not started.pull_from(reader)
    started.sync._era_grace_until_s = 0.0
    started.sync.sweep()
    assert not started.zones


async def test_older_eras_in_a_later_snapshot_end_too(reader, start):
    """Guards against a lost key that a snapshot of the same era brings and nothing ever ends."""
    other = start(rank=5)
    await waiting.until(lambda: other.directory.configuration)
    other.sync._lacks_older_eras = False
    records, _ = reader.sync.changes_since(0)
    other.sync.apply_peer_records(
        records, reader.sync.revision, 0.0, is_snapshot=True, era=reader.sync.era
    )
    other.sync.sweep()
    assert other.zones == {"y"}
    other.sync._era_grace_until_s = 0.0
    other.sync.sweep()
    assert not other.zones


async def test_fleet_keeps_an_evacuation_that_the_store_loses(fleet):
    """Guards against requests to an evacuated zone after the store has come back older."""
    addresses = [await fleet.add(index, zone=zone) for index, zone in enumerate("yz")]
    for address in addresses:
        await fleet.wait_until_ready(address)

    def counts():
        return [made.server_count("s") for made in fleet.nodes]

    await waiting.until(lambda: counts() == [2, 2], within_s=8.0)
    copied = fleet.store.copy()
    fleet.publish(KEY, EVACUATION)
    await waiting.until(lambda: counts() == [1, 1], within_s=8.0)
    fleet.store.roll_back(copied)
    await waiting.until(lambda: all(made._sync.era == 1 for made in fleet.nodes), within_s=8.0)
    fleet.publish("servers/9", None)
    for number in range(5):
        for ip in addresses:
            assert (await fleet.request(ip, "POST", "/post/1", f"{ip}-{number}"))[0] == 200
    assert fleet.backends[0].runs == []
    _, _, text = await fleet.request(addresses[0], "GET", "/metrics", "m", port=17002)
    assert b"laburnumford_store_era 1" in text
