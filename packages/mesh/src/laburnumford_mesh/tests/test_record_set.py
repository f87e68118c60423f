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

    @stateful.rule(key=KEYS, removed=strategies.booleans())
    def write(self, key, removed):
        """Writes or removes a key of the store."""
        if removed and key not in self.live_by_key:
            return
        self.revision += 1
        change = record.Record(key, self.revision, None if removed else b"%d" % self.revision)
        self.changes.append(change)
        if removed:
            del self.live_by_key[key]
        else:
            self.live_by_key[key] = change

    @stateful.rule(index=strategies.integers(0, 1))
    def read_all(self, index):
        """Applies a snapshot of the store to a set."""
        self.sets[index].apply_snapshot(list(self.live_by_key.values()), self.revision)

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
