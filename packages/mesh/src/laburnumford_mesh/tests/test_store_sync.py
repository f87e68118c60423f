"""Tests of the reads that nodes cost the store and of the delay until they see changes."""

import asyncio
import random

import pytest

from laburnumford_mesh import clock, errors, store_sync
from laburnumford_mesh.tests import conftest, waiting

_RENEWAL_INTERVAL_S = 0.01
"""Seconds between renewals if some hundred servers renew their entries every second or two."""

_DIGEST_INTERVAL_S = 0.2
"""Seconds between two digests that a node gets from peers, approximately."""


class RecordsObserver:
    """Records the calls of `on_records`.

    Attributes:
        first_seen_s_by_value: time at which each value was first seen.
        after_outage: argument ``after_outage`` of each call.
    """

    def __init__(self):
        self.first_seen_s_by_value: dict[bytes, float] = {}
        self.after_outage: list[bool] = []

    def on_records(self, records, after_outage):
        """Handles new records."""
        self.after_outage.append(after_outage)
        for each in records:
            self.first_seen_s_by_value.setdefault(each.value, clock.now())


@pytest.fixture
def busy_store():
    """Returns a store with one record."""
    made = conftest.FakeStore()
    made.put("servers/0", b"0")
    return made


@pytest.fixture
async def start(busy_store, log):
    """Returns a function that starts the sync of a node of a given rank.

    The function returns the sync and its observer.
    """
    tasks = []

    def start_one(rank):
        observer = RecordsObserver()
        made = store_sync.StoreSync(
            source=busy_store,
            rank=lambda: rank,
            on_records=observer.on_records,
            log=log,
            generator=random.Random(rank),
        )
        tasks.append(asyncio.create_task(made.run()))
        return made, observer

    yield start_one
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest.fixture
async def reader(start):
    """Returns the running sync of the reader and its observer."""
    return start(0)


async def test_renewals_of_many_servers_are_read_in_batches(busy_store, reader):
    """Guards against one read of the store for each renewal of an entry.

    The entries of a large fleet change dozens of times a second: in a quiet benchmark day with
    80 VMs, two readers made most of 1,126 reads in 48 s.
    """
    made, _ = reader
    for index in range(150):
        busy_store.put("servers/0", str(index).encode())
        await asyncio.sleep(_RENEWAL_INTERVAL_S)
    assert made.read_count <= 12


async def test_change_between_renewals_is_seen_soon(busy_store, reader):
    """Guards against a change that is delayed by renewals for a large part of its bound of 2 s."""
    _, observer = reader
    for index in range(20):
        busy_store.put("servers/0", str(index).encode())
        await asyncio.sleep(_RENEWAL_INTERVAL_S)
    busy_store.put("op/config", b"new")
    published_s = clock.now()
    await waiting.until(lambda: b"new" in observer.first_seen_s_by_value)
    assert observer.first_seen_s_by_value[b"new"] - published_s < 1.0


async def test_standby_reads_only_when_the_reader_is_silent(busy_store, start):
    """Guards against a standby that reads as often as the reader, or starts as late as the others."""
    made, observer = start(1)
    await waiting.until(lambda: made.revision)
    for _ in range(10):
        made.observe_peer_revision(made.revision, 0.1)
        await asyncio.sleep(_DIGEST_INTERVAL_S)
    assert made.read_count == 1
    busy_store.put("op/config", b"new")
    silent_since_s = clock.now()
    await waiting.until(lambda: b"new" in observer.first_seen_s_by_value)
    assert observer.first_seen_s_by_value[b"new"] - silent_since_s < 0.9


async def test_single_failed_read_is_no_outage(busy_store, reader):
    """Guards against keeping the entry of a removed server for 2 s after one failed read.

    In two benchmark days of a search for faults with 80 VMs, requests reached removed servers
    2.5 s later. That this was the cause was inferred from the code, not reproduced.
    """
    made, observer = reader
    await waiting.until(lambda: made.revision)
    busy_store.down = True
    reads = made.read_count
    await waiting.until(lambda: made.read_count > reads)
    observer.after_outage.clear()
    busy_store.down = False
    busy_store.put("servers/0", None)
    await waiting.until(lambda: observer.after_outage)
    assert observer.after_outage[0] is False


async def test_long_failure_of_the_store_is_an_outage(busy_store, start):
    """Guards against dropping servers whose entries expired while the store was down."""
    made, observer = start(1)
    await waiting.until(lambda: made.revision)
    busy_store.down = True
    await waiting.until(lambda: made.age_s() >= 3.2, within_s=8.0)
    observer.after_outage.clear()
    busy_store.down = False
    busy_store.put("servers/0", None)
    await waiting.until(lambda: observer.after_outage)
    assert observer.after_outage[0] is True


async def test_started_node_gets_the_values_from_a_peer(busy_store, start):
    """Guards against a read of the store by each of hundreds of nodes that start together."""
    syncs = [start(rank)[0] for rank in range(2, 22)]
    await waiting.until(lambda: any(each.revision for each in syncs))
    first = next(each for each in syncs if each.revision)
    records, is_snapshot = first.changes_since(0)
    for each in syncs:
        if each.observe_peer_revision(first.revision, 0.0):
            each.apply_peer_records(records, first.revision, 0.0, is_snapshot=is_snapshot)
    assert all(each.revision for each in syncs)
    assert sum(each.read_count for each in syncs) <= 5


async def test_change_is_pulled_from_one_peer(start):
    """Guards against asking every node that tells of a change for the same values."""
    made, _ = start(5)
    assert made.should_pull(9)
    assert not made.should_pull(9)
    assert made.should_pull(10)
    await asyncio.sleep(0.2)
    assert made.should_pull(10)


async def test_node_that_lacks_history_is_not_pulled_from_while_values_are_fresh(
    busy_store, start
):
    """Guards against snapshots throughout the fleet at each start of a node."""
    made, _ = start(5)
    await waiting.until(lambda: made.revision)
    newer = made.revision + 2
    assert not made.observe_peer_revision(newer, 0.0, newer)
    assert made.observe_peer_revision(newer, 0.0, made.revision)
    busy_store.down = True
    await waiting.until(lambda: made.observe_peer_revision(newer, 0.0, newer))


async def test_store_behind_the_known_values_is_not_read_without_a_pause(
    busy_store, start, monkeypatch
):
    """Guards against a node that hangs or floods a store that shows fewer changes than a peer did.

    The store refuses a watch from a revision that it does not have, and its full read is ignored.
    """
    max_reads = 20
    reads = 0
    read_all = busy_store.read_all

    async def count_and_read():
        nonlocal reads
        reads += 1
        if reads > max_reads:
            raise errors.StoreError("ends the endless reads")
        return await read_all()

    monkeypatch.setattr(busy_store, "read_all", count_and_read)
    made, _ = start(0)
    await waiting.until(lambda: made.revision)
    made.apply_peer_records([], made.revision + 5, 0.0, is_snapshot=False)
    known = made.revision
    reads_before = made.read_count
    await waiting.until(lambda: made.read_count > reads_before + 2)
    assert reads < max_reads
    assert made.revision == known
