"""Tests of the published values that a node knows."""

import hypothesis
from hypothesis import stateful, strategies

from laburnumford_mesh import record, record_set

KEYS = strategies.sampled_from(["a", "b", "c"])


class RecordSets(stateful.RuleBasedStateMachine):
    """A store and two nodes that learn from it and from each other in any order."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.live = {}
        self.log = []
        self.nodes = [record_set.RecordSet(), record_set.RecordSet()]
        self.seen: list[dict[str, int]] = [{}, {}]

    @stateful.rule(key=KEYS, removed=strategies.booleans())
    def write(self, key, removed):
        """The store changes."""
        if removed and key not in self.live:
            return
        self.revision += 1
        change = record.Record(key, self.revision, None if removed else b"%d" % self.revision)
        self.log.append(change)
        if removed:
            del self.live[key]
        else:
            self.live[key] = change

    @stateful.rule(index=strategies.integers(0, 1))
    def read_all(self, index):
        """A node reads everything."""
        self.nodes[index].apply_snapshot(list(self.live.values()), self.revision)

    @stateful.rule(index=strategies.integers(0, 1))
    def watch(self, index):
        """A node reads the changes that it lacks."""
        known = self.nodes[index].revision
        if known:
            changes = [change for change in self.log if change.revision > known]
            self.nodes[index].apply_changes(changes, self.revision)

    @stateful.rule(index=strategies.integers(0, 1))
    def pull(self, index):
        """A node learns from the other one, if that one is ahead."""
        own, other = self.nodes[index], self.nodes[1 - index]
        if other.revision <= own.revision:
            return
        records, whole = other.changes_since(own.revision)
        if whole:
            own.apply_snapshot(records, other.revision)
        else:
            own.apply_changes(records, other.revision)

    @stateful.invariant()
    def node_that_is_current_has_what_the_store_has(self):
        """Guards against lost changes and against removed values that stay."""
        for known in self.nodes:
            if known.revision == self.revision and self.log:
                found = {each.key: each for each in known.live()}
                assert found == self.live

    @stateful.invariant()
    def value_never_goes_back(self):
        """Guards against an older value in place of a newer one."""
        for known, seen in zip(self.nodes, self.seen, strict=True):
            for each in known.live():
                assert each.revision >= seen.get(each.key, 0)
                seen[each.key] = each.revision


RecordSets.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=30
)
test_record_sets = RecordSets.TestCase
