"""Tests of record sets that are filled from a store and from each other."""

import hypothesis
from hypothesis import stateful, strategies

from laburnumford_mesh import record, record_set

KEYS = strategies.sampled_from(["a", "b", "c"])


class RecordSetMachine(stateful.RuleBasedStateMachine):
    """A store and two record sets that read it and pull from each other in any order."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.live_by_key = {}
        self.changes = []
        self.sets = [record_set.RecordSet(), record_set.RecordSet()]
        self.highest_revision_by_key: list[dict[str, int]] = [{}, {}]
        self.started_reads: list[tuple[list[record.Record], int]] = [([], 0), ([], 0)]

    @stateful.initialize()
    def fill(self):
        """Writes all keys and lets both sets read them."""
        for key in ("a", "b", "c"):
            self._append(key, removed=False)
        for index in range(2):
            self.read_all(index, restarted=False)

    def _append(self, key, *, removed):
        self.revision += 1
        change = record.Record(key, self.revision, None if removed else b"%d" % self.revision)
        self.changes.append(change)
        if removed:
            del self.live_by_key[key]
        else:
            self.live_by_key[key] = change

    @stateful.rule(key=KEYS)
    def write(self, key):
        """Writes a key of the store."""
        self._append(key, removed=False)

    @stateful.precondition(lambda self: self.live_by_key)
    @stateful.rule(data=strategies.data())
    def remove(self, data):
        """Removes a key of the store."""
        self._append(data.draw(strategies.sampled_from(sorted(self.live_by_key))), removed=True)

    @stateful.rule(index=strategies.integers(0, 1), restarted=strategies.booleans())
    def read_all(self, index, restarted):
        """Applies a snapshot of the store to a set, which is empty after a restart of its node."""
        if restarted:
            self.sets[index] = record_set.RecordSet()
            self.highest_revision_by_key[index] = {}
        self.sets[index].apply_snapshot(list(self.live_by_key.values()), self.revision)

    @stateful.rule(index=strategies.integers(0, 1))
    def start_read(self, index):
        """Starts a full read of the store whose answer arrives later."""
        self.started_reads[index] = (list(self.live_by_key.values()), self.revision)

    @stateful.rule(index=strategies.integers(0, 1))
    def finish_read(self, index):
        """Applies the answer to a read that other updates may have overtaken."""
        records, revision = self.started_reads[index]
        if revision:
            self.sets[index].apply_snapshot(records, revision)

    @stateful.rule(index=strategies.integers(0, 1))
    def watch(self, index):
        """Applies the changes that a set lacks to it."""
        known = self.sets[index].revision
        if known:
            changes = [change for change in self.changes if change.revision > known]
            self.sets[index].apply_changes(changes, self.revision)

    @stateful.rule(index=strategies.integers(0, 1))
    def pull(self, index):
        """Applies the records of the other set to a set if the other one is newer."""
        own, other = self.sets[index], self.sets[1 - index]
        if other.revision <= own.revision:
            return
        records, is_snapshot = other.changes_since(own.revision)
        if is_snapshot:
            own.apply_snapshot(records, other.revision)
        else:
            own.apply_changes(records, other.revision)

    @stateful.invariant()
    def current_set_equals_the_store(self):
        """Guards against lost changes and against removed keys that stay."""
        for known in self.sets:
            if known.revision == self.revision and self.changes:
                found = {each.key: each for each in known.live()}
                assert found == self.live_by_key

    @stateful.invariant()
    def revision_of_a_key_never_decreases(self):
        """Guards against an older record that replaces a newer one."""
        for known, highest_revisions in zip(self.sets, self.highest_revision_by_key, strict=True):
            for each in known.live():
                assert each.revision >= highest_revisions.get(each.key, 0)
                highest_revisions[each.key] = each.revision


RecordSetMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=30
)
test_record_sets = RecordSetMachine.TestCase


def test_removal_reaches_peers_of_a_node_that_has_just_read_all_records():
    """Guards against requests to a removed server: a full read lists no removed keys.

    A node that had just started passed its records on as all changes since the revision of a peer.
    """
    peer, started = record_set.RecordSet(), record_set.RecordSet()
    peer.apply_snapshot([record.Record("servers/a", 2, b"a")], 2)
    started.apply_snapshot([], 3)
    records, is_snapshot = started.changes_since(peer.revision)
    assert is_snapshot
    peer.apply_snapshot(records, started.revision)
    assert not peer.live()


def test_removal_between_two_full_reads_reaches_peers():
    """Guards against a removal that is lost because a full read followed an earlier one.

    The key was written and removed between the reads, and only the peer had seen it.
    """
    peer, reader = record_set.RecordSet(), record_set.RecordSet()
    for each in (peer, reader):
        each.apply_snapshot([], 1)
    peer.apply_changes([record.Record("servers/a", 2, b"a")], 2)
    reader.apply_snapshot([], 3)
    _, is_snapshot = reader.changes_since(peer.revision)
    assert is_snapshot


def test_overtaken_full_read_brings_no_removed_key_back():
    """Guards against requests to a removed server of which only an outdated read tells.

    A node that starts may get the values of a peer while it reads the store itself.
    """
    started = record_set.RecordSet()
    started.apply_snapshot([], 3)
    assert not started.apply_snapshot([record.Record("servers/a", 2, b"a")], 2)
    assert not started.live()
    assert started.revision == 3
