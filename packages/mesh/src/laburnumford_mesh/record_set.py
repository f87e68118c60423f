"""Keeps the published values that a node knows, with the revisions of their last changes."""

import collections
from collections.abc import Iterable

from laburnumford_mesh import record

_MAX_REMOVALS = 4096
"""Removals kept for peers at an older revision. A peer that lacks a discarded removal gets a
snapshot."""


class RecordSet:
    """Keeps the newest record of each key and ignores older ones.

    Attributes:
        revision: revision up to which the set is complete.
        history_revision: revision since which the set knows all changes, removals included.
    """

    def __init__(self) -> None:
        self._record_by_key: dict[str, record.Record] = {}
        self._removal_by_key: collections.OrderedDict[str, record.Record] = (
            collections.OrderedDict()
        )
        self.revision = 0
        self.history_revision = 0

    def live(self) -> list[record.Record]:
        """Returns the records that have a value."""
        return list(self._record_by_key.values())

    def apply_changes(
        self, changes: Iterable[record.Record], revision: int
    ) -> list[record.Record]:
        """Applies changes after which the set is complete up to `revision`.

        Returns:
            The records that were new to this set.
        """
        applied = [change for change in changes if self._apply(change)]
        self.revision = max(self.revision, revision)
        return applied

    def apply_snapshot(
        self, records: Iterable[record.Record], revision: int
    ) -> list[record.Record]:
        """Applies all records that the store held at `revision`.

        A key that is missing from the snapshot was removed at `revision` or before. A snapshot that
        is older than the set is ignored: it may hold keys whose removal the set does not know.

        Returns:
            The records that were new to this set, removals included.
        """
        if revision < self.revision:
            return []
        snapshot = list(records)
        keys = {each.key for each in snapshot}
        applied = [each for each in snapshot if self._apply(each)]
        for known in self.live():
            if known.key not in keys and known.revision <= revision:
                removal = record.Record(known.key, revision, None)
                self._apply(removal)
                applied.append(removal)
        # The snapshot does not list the keys that were removed before it, and the set lacks the
        # removals of those that it never held.
        self.history_revision = max(self.history_revision, revision)
        self.revision = max(self.revision, revision)
        return applied

    def changes_since(self, revision: int) -> tuple[list[record.Record], bool]:
        """Returns the records that a peer at `revision` lacks, and whether they are a snapshot."""
        if revision < self.history_revision:
            return self.live(), True
        changed = [each for each in self._record_by_key.values() if each.revision > revision]
        changed += [each for each in self._removal_by_key.values() if each.revision > revision]
        return changed, False

    def _apply(self, change: record.Record) -> bool:
        known = self._record_by_key.get(change.key) or self._removal_by_key.get(change.key)
        if known is not None and known.revision >= change.revision:
            return False
        if change.value is not None:
            self._removal_by_key.pop(change.key, None)
            self._record_by_key[change.key] = change
            return True
        self._record_by_key.pop(change.key, None)
        self._removal_by_key[change.key] = change
        self._removal_by_key.move_to_end(change.key)
        if len(self._removal_by_key) > _MAX_REMOVALS:
            _, compacted = self._removal_by_key.popitem(last=False)
            self.history_revision = max(self.history_revision, compacted.revision)
        return known is not None
