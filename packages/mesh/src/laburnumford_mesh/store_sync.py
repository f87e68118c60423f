"""Keeps the published values current: few nodes read the store, the others learn from peers."""

import asyncio
import math
import random
from collections.abc import Callable, Sequence

from laburnumford_mesh import clock, errors, event_log, frames, record, record_set, store

_WATCH_TIMEOUT_S = 0.4
"""Seconds for which a watch waits for a change. The standby considers the reader lost if it
gets no update for longer than this plus the time that gossip takes through the fleet."""

_READER_RANK = 0
_STANDBY_RANK = 1

_STANDBY_MAX_AGE_S = 0.7
"""Seconds; age of its values above which the standby reads the store. It is lower than that of
the other nodes, so that the standby reads first."""

_READ_BATCH_DELAY_S = 0.25
"""Seconds between a read that returned changes and the next one. Entries of a large fleet are
renewed dozens of times a second, and without the delay each watch returns at the first renewal.
An eighth of the published bound of 2 s for changes."""

_MAX_AGE_S = 0.9
"""Seconds; age of its values above which any node reads the store itself. The published bound for
changes is 2 s."""

_MAX_AGE_JITTER_S = 0.4
"""Seconds; keeps nodes that get no updates from reading the store at the same moment."""

_MAX_FIRST_READ_DELAY_S = 0.15
"""Seconds until a started node reads the store itself. Nodes that were started at the same moment
wait for different times, and the first one that has read the store tells the others."""

_FIRST_READ_CHECK_INTERVAL_S = 0.01
"""Seconds between two checks whether a peer has sent the values to a started node."""

_PULL_TIMEOUT_S = 0.15
"""Seconds in which a pull is not repeated for the same revision. Each of the nodes that tell of a
change would otherwise be asked for it."""

_MIN_SNAPSHOT_AGE_S = 0.6
"""Seconds; age of its values from which a node pulls a snapshot from a peer that lacks the changes
since its revision. Before that it waits for a peer that has them: otherwise each node that starts
would cause snapshots throughout the fleet."""

_AGE_CHECK_INTERVAL_S = 0.1
"""Seconds between two checks of the age of the values."""

_INITIAL_BACKOFF_S = 0.15
"""Seconds; forty times the response time of the store."""

_READER_MAX_BACKOFF_S = 0.6
"""Seconds; keeps the bound of 2 s for changes after the store has recovered."""

_OTHER_MAX_BACKOFF_S = 1.2
"""Seconds for nodes that are neither reader nor standby. A failing read costs the store as much as
a successful one, so they wait longer."""

_MIN_OUTAGE_S = 3.0
"""Seconds without the store after which entries may have expired. They expire after three missed
renewals of 1.5 s, so an entry that is missing after a shorter outage was removed."""

_ERA_GRACE_S = 6.0
"""Seconds after a change of the store's era for which records of older eras are kept. Operators and
servers write again what the store has lost; the platform allows 5 s for that."""

_STORE_SOURCE = "store"
"""Source in the log of values that this node has read itself."""

_ERA_SOURCE = "era"
"""Source in the log of the removal of records of older eras."""

_MAX_LOGGED_KEYS = 8
"""Removed keys that one line of the log names."""


class StoreSync:
    """Reads the store if this node is the reader, or if it gets no updates from peers.

    Args:
        source: store with the published values.
        rank: returns the position of this node in an order that is the same on all nodes. The
            node of rank 0 is the reader, which reads all the time. The node of rank 1 is the
            standby, which reads first if the reader is lost.
        on_records: called with new records and whether they end an outage of the store.
        log: structured log.
        generator: source of random numbers.

    Attributes:
        read_count: number of reads and watches of the store, failed ones included.
        pull_count: number of answers of peers that were applied.
    """

    def __init__(
        self,
        *,
        source: store.Store,
        rank: Callable[[], int],
        on_records: Callable[[Sequence[record.Record], bool], None],
        log: event_log.EventLog,
        generator: random.Random,
    ) -> None:
        self._source = source
        self._rank = rank
        self._on_records = on_records
        self._log = log
        self._generator = generator
        self._records = record_set.RecordSet()
        self._current_as_of_s: float | None = None
        self._failure_count = 0
        self._history_lost = False
        self._jittered_max_age_s = _MAX_AGE_S
        self._pulled_position = (0, 0)
        self._era_grace_until_s = -math.inf
        self._keeps_older_eras = False
        self._lacks_older_eras = False
        self._last_pull_s = -math.inf
        self.read_count = 0
        self.pull_count = 0

    @property
    def revision(self) -> int:
        """Revision up to which the values are complete."""
        return self._records.revision

    @property
    def era(self) -> int:
        """Era of the store to which the values belong."""
        return self._records.era

    @property
    def history_revision(self) -> int:
        """Revision since which all changes are known, removals included."""
        return self._records.history_revision

    def age_s(self) -> float:
        """Returns the seconds since the values were last known to be current, infinity before that."""
        return (
            float("inf") if self._current_as_of_s is None else clock.now() - self._current_as_of_s
        )

    def changes_since(self, revision: int, era: int = 0) -> tuple[list[record.Record], bool]:
        """Returns the records that a peer at `revision` lacks, and whether they are a snapshot."""
        return self._records.changes_since(revision, era)

    async def run(self) -> None:
        """Reads the store as the reader, or whenever the values are too old, until cancelled."""
        first_read_s = clock.now() + self._generator.random() * _MAX_FIRST_READ_DELAY_S
        while not self.revision and clock.now() < first_read_s:
            await asyncio.sleep(_FIRST_READ_CHECK_INTERVAL_S)
        while True:
            if self.revision and not self._is_reader() and self.age_s() < self._max_age_s():
                await asyncio.sleep(_AGE_CHECK_INTERVAL_S)
                continue
            try:
                await self._read()
            except errors.StoreError as error:
                await self._back_off(error)

    def observe_peer_revision(
        self, revision: int, age_s: float, history_revision: int = 0, era: int = 0
    ) -> bool:
        """Updates the age from a peer's digest.

        Args:
            revision: revision up to which the peer's values are complete.
            age_s: seconds since the peer knew that its values were current.
            history_revision: revision since which the peer knows all changes.
            era: era of the store to which the peer's revisions belong.

        Returns:
            Whether to pull newer values from the peer.
        """
        if self._lacks_older_eras and era == self.era:
            return True
        if (era, revision) > self._records.position:
            has_changes = era == self.era and self.revision >= history_revision
            return has_changes or not self.revision or self.age_s() > _MIN_SNAPSHOT_AGE_S
        if (era, revision) == self._records.position and self.revision:
            self._mark_current(clock.now() - age_s)
        return False

    def wanted(self) -> frames.Pull:
        """Returns the request for the values that this node lacks.

        A node that has started after a change of the era and has read the store itself lacks the
        records that the others keep, so it asks for everything once.
        """
        if self._lacks_older_eras:
            return frames.Pull(0)
        return frames.Pull(self.revision, self.era)

    def should_pull(self, revision: int, era: int = 0) -> bool:
        """Returns whether to ask a peer for a newer revision; not while another one is asked."""
        now = clock.now()
        position = (era, revision)
        if position <= self._pulled_position and now - self._last_pull_s < _PULL_TIMEOUT_S:
            return False
        self._pulled_position = position
        self._last_pull_s = now
        return True

    def apply_peer_records(
        self,
        records: Sequence[record.Record],
        revision: int,
        age_s: float,
        *,
        is_snapshot: bool,
        peer: str = "",
        era: int = 0,
    ) -> None:
        """Applies records that a peer sent.

        Args:
            records: the records that this node lacked.
            revision: revision up to which they complete the values.
            age_s: seconds since the peer knew that its values were current.
            is_snapshot: whether the records are all that the peer has.
            peer: IP address of the peer.
            era: era of the store to which the revision belongs.
        """
        if is_snapshot and era == self.era:
            self._add_older_eras(records, peer)
        if (era, revision) < self._records.position or (era != self.era and not is_snapshot):
            return
        self.pull_count += 1
        after_outage = self.age_s() > _MIN_OUTAGE_S
        changes = store.Changes(records=records, revision=revision, era=era)
        applied = self._apply(changes, source=peer, is_snapshot=is_snapshot)
        self._mark_current(clock.now() - age_s)
        if applied:
            self._on_records(applied, after_outage or self._in_era_grace())

    def sweep(self) -> None:
        """Drops the records of older eras that were not seen again in time."""
        if not self._keeps_older_eras or self._in_era_grace():
            return
        self._keeps_older_eras = False
        removals = self._records.expire_older_eras()
        self._log_update(_ERA_SOURCE, self.revision, removals, is_snapshot=False)
        if removals:
            self._on_records(removals, False)

    def _add_older_eras(self, records: Sequence[record.Record], peer: str) -> None:
        """Adds what a peer keeps of older eras if this node has started since."""
        if not self._lacks_older_eras:
            return
        self._lacks_older_eras = False
        added = self._records.add_older_eras(records)
        if added:
            self._begin_era_grace()
            self._log_update(peer, self.revision, added, is_snapshot=False)
            self._on_records(added, False)

    def _observe_older_eras(self, *, changed: bool) -> None:
        """Begins the grace period after a change of the era, or with records that a peer keeps."""
        if changed or (not self._keeps_older_eras and self._records.has_older_eras()):
            self._begin_era_grace()

    def _begin_era_grace(self) -> None:
        self._keeps_older_eras = True
        self._era_grace_until_s = clock.now() + _ERA_GRACE_S

    def _in_era_grace(self) -> bool:
        """Returns whether the store may still lack records that it has lost."""
        return clock.now() < self._era_grace_until_s

    def _apply(
        self,
        changes: store.Changes,
        *,
        source: str,
        is_snapshot: bool,
    ) -> list[record.Record]:
        """Applies records, logs the step, and returns those that were new to this node."""
        previous_era, previous = self._records.position
        apply = self._records.apply_snapshot if is_snapshot else self._records.apply_changes
        applied = apply(changes.records, changes.revision, changes.era)
        if self.era != previous_era and previous:
            self._log.write(
                "store_era_changed",
                source=source,
                previous=previous_era,
                era=self.era,
                previous_revision=previous,
                revision=self.revision,
            )
        if self.era != previous_era:
            self._lacks_older_eras = not previous and source == _STORE_SOURCE
        if is_snapshot:
            self._observe_older_eras(changed=bool(previous) and self.era != previous_era)
        if applied or is_snapshot:
            self._log_update(source, previous, applied, is_snapshot=is_snapshot)
        return applied

    def _log_update(
        self, source: str, previous: int, applied: Sequence[record.Record], *, is_snapshot: bool
    ) -> None:
        removed = [each.key for each in applied if each.value is None]
        self._log.write(
            "values_updated",
            source=source,
            previous=previous,
            revision=self.revision,
            era=self.era,
            snapshot=is_snapshot,
            records=len(applied),
            removed=removed[:_MAX_LOGGED_KEYS],
        )

    async def _read(self) -> None:
        self.read_count += 1
        after_outage = self.age_s() > _MIN_OUTAGE_S
        current_as_of_s = clock.now()
        if not self.revision or self._history_lost:
            changes = await self._source.read_all()
            if changes.era == self.era and changes.revision < self.revision:
                # A watch would be refused and a full read would follow at once, again and again.
                raise errors.StoreError(
                    f"revision: found {changes.revision}; allowed: {self.revision} or more"
                )
            self._history_lost = False
            is_snapshot = True
        else:
            wait_s = _WATCH_TIMEOUT_S if self._is_reader() else 0.0
            try:
                changes = await self._source.watch(self.revision, wait_s)
            except errors.HistoryLostError:
                self._history_lost = True
                self._log.write("store_history_lost", revision=self.revision)
                return
            current_as_of_s = max(current_as_of_s, clock.now() - 0.05)
            is_snapshot = False
        if changes.era < self.era:
            raise errors.StoreError(f"era: found {changes.era}; allowed: {self.era} or more")
        if changes.era > self.era and not is_snapshot:
            # The changes since a revision of another era say nothing about what was lost.
            self._history_lost = True
            return
        applied = self._apply(changes, source=_STORE_SOURCE, is_snapshot=is_snapshot)
        if self._failure_count:
            self._log.write("store_regained", failures=self._failure_count, revision=self.revision)
        self._failure_count = 0
        self._jittered_max_age_s = _MAX_AGE_S + self._generator.random() * _MAX_AGE_JITTER_S
        self._mark_current(current_as_of_s)
        if applied:
            self._on_records(applied, after_outage or self._in_era_grace())
            await asyncio.sleep(_READ_BATCH_DELAY_S)

    async def _back_off(self, error: errors.StoreError) -> None:
        if not self._failure_count:
            self._log.write("store_lost", error=str(error), revision=self.revision)
        max_backoff_s = (
            _READER_MAX_BACKOFF_S if self._rank() <= _STANDBY_RANK else _OTHER_MAX_BACKOFF_S
        )
        if not self.revision:
            max_backoff_s = _READER_MAX_BACKOFF_S
        wait_s = min(_INITIAL_BACKOFF_S * 2.0 ** min(self._failure_count, 8), max_backoff_s)
        self._failure_count += 1
        await asyncio.sleep(wait_s * (0.75 + 0.5 * self._generator.random()))

    def _is_reader(self) -> bool:
        return self._rank() == _READER_RANK

    def _max_age_s(self) -> float:
        """Returns the age of the values in seconds above which this node reads the store itself."""
        return _STANDBY_MAX_AGE_S if self._rank() == _STANDBY_RANK else self._jittered_max_age_s

    def _mark_current(self, current_as_of_s: float) -> None:
        if self._current_as_of_s is None or current_as_of_s > self._current_as_of_s:
            self._current_as_of_s = current_as_of_s
