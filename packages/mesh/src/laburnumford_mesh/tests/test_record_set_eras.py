"""Tests of record sets whose store comes back from older copies."""

import hypothesis
import pytest
from hypothesis import stateful, strategies

from laburnumford_mesh import record, record_set

KEYS = strategies.sampled_from(["a", "b", "c"])
SETS = strategies.integers(0, 2)


class EraMachine(stateful.RuleBasedStateMachine):
    """A store that comes back from copies, and sets that read it and pull from each other."""

    def __init__(self):
        super().__init__()
        self.era = 0
        self.revision = 1
        self.written = 0
        self.live_by_key = {}
        self.changes = []
        self.copies: list[tuple[int, dict[str, record.Record]]] = [(1, {})]
        self.sets = [record_set.RecordSet() for _ in range(3)]
        self.highest: list[dict[str, tuple[int, int]]] = [{} for _ in range(3)]

    @stateful.rule(key=KEYS, removed=strategies.booleans())
    def write(self, key, removed):
        """Writes or removes a key of the store."""
        if removed and key not in self.live_by_key:
            return
        self.revision += 1
        self.written += 1
        value = None if removed else b"%d" % self.written
        change = record.Record(key, self.revision, value, self.era)
        self.changes.append(change)
        if removed:
            del self.live_by_key[key]
        else:
            self.live_by_key[key] = change

    @stateful.rule()
    def copy(self):
        """Copies the store."""
        self.copies.append((self.revision, dict(self.live_by_key)))

    @stateful.rule(data=strategies.data())
    def roll_back(self, data):
        """Replaces the store by a copy; its revisions are used again."""
        self.revision, copied = data.draw(strategies.sampled_from(self.copies))
        self.era += 1
        self.changes = []
        self.live_by_key = {
            key: record.Record(key, each.revision, each.value, self.era)
            for key, each in copied.items()
        }
        self.copies = [(self.revision, dict(self.live_by_key))]

    @stateful.rule(index=SETS, restarted=strategies.booleans())
    def read_all(self, index, restarted):
        """Applies a snapshot of the store to a set, which is empty after a restart of its node."""
        if restarted:
            self.sets[index] = record_set.RecordSet()
            self.highest[index] = {}
        self.sets[index].apply_snapshot(self.live_by_key.values(), self.revision, self.era)

    @stateful.rule(index=SETS)
    def watch(self, index):
        """Applies the changes that a set lacks, as far as its revision is one of this era."""
        known = self.sets[index]
        if known.position >= (self.era, self.copies[0][0]):
            later = [each for each in self.changes if each.revision > known.revision]
            known.apply_changes(later, self.revision, self.era)

    @stateful.rule(index=SETS, source=SETS)
    def pull(self, index, source):
        """Applies the records of another set to a set if the other one is newer."""
        own, other = self.sets[index], self.sets[source]
        if other.position <= own.position:
            return
        records, is_snapshot = other.changes_since(own.revision, own.era)
        if is_snapshot:
            own.apply_snapshot(records, other.revision, other.era)
        else:
            own.apply_changes(records, other.revision, other.era)

    @stateful.rule(index=SETS, source=SETS)
    def add_older_eras(self, index, source):
        """Adds what another set keeps of older eras."""
        records, _ = self.sets[source].changes_since(0)
        self.sets[index].add_older_eras(records)

    @stateful.rule(index=SETS)
    def expire(self, index):
        """Ends the time for which older eras are kept."""
        self.sets[index].expire_older_eras()

    @stateful.invariant()
    def current_set_equals_the_store_apart_from_older_eras(self):
        """Guards against lost changes, and against removed keys of the same era that stay."""
        for known in self.sets:
            if known.position == (self.era, self.revision) and known.revision:
                found = {each.key: each for each in known.live() if each.era == self.era}
                assert found == self.live_by_key

    @stateful.invariant()
    def position_of_a_key_never_decreases(self):
        """Guards against a value of an older era that replaces one of a newer era."""
        for known, highest in zip(self.sets, self.highest, strict=True):
            for each in known.live():
                assert each.position >= highest.get(each.key, (0, 0))
                highest[each.key] = each.position


EraMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
test_eras = EraMachine.TestCase


def _set(*records, revision=9, era=0):
    made = record_set.RecordSet()
    made.apply_snapshot(records, revision, era)
    return made


@pytest.mark.parametrize("revision", [3, 9])
def test_record_that_the_store_has_lost_is_kept_until_it_expires(revision):
    """Guards against a forgotten evacuation, also in a node that starts at that time."""
    lost = record.Record("op/evacuate/y", revision, b"{}")
    known = _set(lost)
    assert not known.apply_snapshot([], 5, 1)
    records, is_snapshot = known.changes_since(0)
    assert is_snapshot
    started = record_set.RecordSet()
    assert started.apply_snapshot(records, 5, 1) == [lost]
    assert known.expire_older_eras() == [record.Record("op/evacuate/y", 5, None, 1)]
    assert not known.live()


def test_record_that_is_written_again_does_not_expire():
    """Guards against the removal of a value that the store has again."""
    known = _set(record.Record("op/evacuate/y", 9, b"{}"))
    known.apply_snapshot([], 5, 1)
    known.apply_changes([record.Record("op/evacuate/y", 6, b"{}", 1)], 6, 1)
    assert not known.expire_older_eras()
    assert len(known.live()) == 1


def test_snapshot_has_the_replaced_value_before_the_older_one():
    """Guards against a node that starts with an older configuration than the others use."""
    newer, older = record.Record("op/config", 9, b"v7"), record.Record("op/config", 4, b"v6", 1)
    known = _set(newer)
    known.apply_snapshot([older], 5, 1)
    assert known.changes_since(0) == ([newer, older], True)
    read_store = _set(older, revision=5, era=1)
    assert read_store.add_older_eras(known.changes_since(0)[0]) == [newer]
    assert read_store.live() == [older]
    known.expire_older_eras()
    assert known.changes_since(0) == ([older], True)


def test_removed_record_of_an_older_era_stays_removed():
    """Guards against a removed key that comes back from a peer that missed the removal."""
    older = record.Record("servers/a", 3, b"a")
    known = _set(revision=5, era=1)
    known.apply_changes([record.Record("servers/a", 6, None, 1)], 6, 1)
    assert not known.add_older_eras([older])
    assert not known.apply_snapshot([older], 7, 1)
    assert not known.live()
