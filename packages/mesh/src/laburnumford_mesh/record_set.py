"""Keeps the published values that a node knows, with the revisions of their last changes."""

import collections
from collections.abc import Iterable

from laburnumford_mesh import record

_MAX_REMOVALS = 4096
"""Removals kept for peers at an older revision. A peer that lacks a discarded removal gets a
snapshot."""


class RecordSet:
    """Keeps the newest record of each key and ignores older ones.

    Records are ordered by era and revision. An era begins when the store comes back from an older
    copy, so that its revisions go back and records are missing or older than before. Operators and
    servers write again what was lost. Until `expire_older_eras` the set keeps the records of older
    eras: those that the store lacks, and those that it has replaced with older values. Nodes that
    start get them with a snapshot.

    Attributes:
        era: era of the store to which the revisions belong.
        revision: revision up to which the set is complete.
        history_revision: revision since which the set knows all changes, removals included.
    """

    def __init__(self) -> None:
        self._record_by_key: dict[str, record.Record] = {}
        self._removal_by_key: collections.OrderedDict[str, record.Record] = (
            collections.OrderedDict()
        )
        self._replaced_by_key: dict[str, record.Record] = {}
        self.era = 0
        self.revision = 0
        self.history_revision = 0

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision up to which the set is complete."""
        return (self.era, self.revision)

    def live(self) -> list[record.Record]:
        """Returns the records that have a value."""
        return list(self._record_by_key.values())

    def has_older_eras(self) -> bool:
        """Returns whether the set has records of older eras."""
        return bool(self._replaced_by_key) or any(
            each.era < self.era for each in self._record_by_key.values()
        )

    def apply_changes(
        self, changes: Iterable[record.Record], revision: int, era: int = 0
    ) -> list[record.Record]:
        """Applies changes after which the set is complete up to `revision`.

        Changes of another era are ignored: they do not complete this set.

        Returns:
            The records that were new to this set.
        """
        if era != self.era:
            return []
        applied = [change for change in changes if self._apply(change)]
        self.revision = max(self.revision, revision)
        return applied

    def apply_snapshot(
        self, records: Iterable[record.Record], revision: int, era: int = 0
    ) -> list[record.Record]:
        """Applies all records that the store held at `revision`.

        A key that is missing from the snapshot was removed at `revision` or before, unless its
        record is of an older era. A snapshot that is older than the set is ignored: it may hold
        keys whose removal the set does not know.

        Returns:
            The records that were new to this set, removals included.
        """
        if (era, revision) < self.position:
            return []
        if era > self.era:
            self.era, self.revision, self.history_revision = era, revision, revision
        snapshot = list(records)
        keys = {each.key for each in snapshot}
        applied = [each for each in snapshot if self._apply(each)]
        for known in self.live():
            if known.key not in keys and known.era == era and known.revision <= revision:
                removal = record.Record(known.key, revision, None, era)
                self._apply(removal)
                applied.append(removal)
        # The snapshot does not list the keys that were removed before it, and the set lacks the
        # removals of those that it never held.
        self.history_revision = max(self.history_revision, revision)
        self.revision = max(self.revision, revision)
        return applied

    def add_older_eras(self, records: Iterable[record.Record]) -> list[record.Record]:
        """Adds the records of older eras among those of a peer; returns the added ones.

        They are kept beside the values that replaced them, which stay in force in this set.
        """
        return [each for each in records if each.era < self.era and self._add_older(each)]

    def expire_older_eras(self) -> list[record.Record]:
        """Removes the records of older eras; returns the removals."""
        self._replaced_by_key.clear()
        removals = [
            record.Record(known.key, self.revision, None, self.era)
            for known in self.live()
            if known.era < self.era
        ]
        for removal in removals:
            self._apply(removal)
        return removals

    def changes_since(self, revision: int, era: int = 0) -> tuple[list[record.Record], bool]:
        """Returns the records that a peer at `revision` lacks, and whether they are a snapshot.

        In a snapshot, records that were replaced with older values precede those values.
        """
        if (era, revision) < (self.era, self.history_revision):
            return [*self._replaced_by_key.values(), *self.live()], True
        known = [*self._record_by_key.values(), *self._removal_by_key.values()]
        return [each for each in known if each.position > (era, revision)], False

    def _apply(self, change: record.Record) -> bool:
        known = self._record_by_key.get(change.key) or self._removal_by_key.get(change.key)
        if known is not None and known.position >= change.position:
            return False
        if change.value is not None:
            self._keep_replaced(change)
            self._removal_by_key.pop(change.key, None)
            self._record_by_key[change.key] = change
            return True
        self._record_by_key.pop(change.key, None)
        self._replaced_by_key.pop(change.key, None)
        self._removal_by_key[change.key] = change
        self._removal_by_key.move_to_end(change.key)
        if len(self._removal_by_key) > _MAX_REMOVALS:
            _, compacted = self._removal_by_key.popitem(last=False)
            if compacted.era == self.era:
                self.history_revision = max(self.history_revision, compacted.revision)
        return known is not None

    def _add_older(self, older: record.Record) -> bool:
        known = self._record_by_key.get(older.key)
        if known is None:
            return older.value is not None and self._apply(older)
        if known.era <= older.era or known.value == older.value:
            return False
        return self._replaced_by_key.setdefault(older.key, older) is older

    def _keep_replaced(self, change: record.Record) -> None:
        """Keeps a record of an older era whose value a newer era replaces.

        The next change in the newer era was written after the store came back.
        """
        known = self._record_by_key.get(change.key)
        if known is None or known.era == change.era:
            self._replaced_by_key.pop(change.key, None)
        elif known.value != change.value:
            self._replaced_by_key[change.key] = known
