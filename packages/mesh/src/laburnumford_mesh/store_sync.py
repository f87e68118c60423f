"""Keeps the published values current: few nodes read the store, the others learn from them."""

import asyncio
import random
from collections.abc import Callable, Sequence

from laburnumford_mesh import clock, errors, event_log, record, record_set, store

_WATCH_S = 0.4
"""Seconds; the standby takes a reader for lost that brings no news for longer than this and
the way through the fleet."""

_READER_RANK = 0
_STANDBY_RANK = 1

_STANDBY_STALE_S = 0.7
"""The standby reads when it has not heard for this long that its values are current, before
the other nodes do."""

_READ_PAUSE_S = 0.25
"""Seconds between two reads that brought changes. Entries of a large fleet are renewed dozens
of times a second, and a watch returns at the first of them. An eighth of the published bound
of 2 s for changes."""

_STALE_S = 0.9
"""Any node that has not heard for this long that its values are current reads by itself. The
published bound for changes is 2 s."""

_STALE_JITTER_S = 0.4
"""Seconds; keeps nodes that hear nothing from reading in the same moment."""

_CHECK_S = 0.1
"""Seconds between two looks at the age."""

_FIRST_BACKOFF_S = 0.15
"""Seconds; forty answers of the store."""

_READER_BACKOFF_S = 0.6
"""Seconds; keeps the bound of 2 s for changes after the return of the store."""

_OTHER_BACKOFF_S = 1.2
"""Failing reads cost the store as much as others; a node that is no reader waits longer."""

_OUTAGE_S = 3.0
"""Entries lapse after three missed renewals of 1.5 s, so a shorter absence of the store lets no
entry lapse; one that is missing then was removed."""


class StoreSync:
    """Reads the store if this node is a reader, or if the readers fall silent.

    Args:
        source: the store.
        rank: returns the place of this node in an order that all nodes compute alike. The
            first one reads at all times and the second one when the first falls silent.
        on_records: called with new records and whether the store was away before.
        log: structured log.
        generator: source of random numbers.
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
        self._synced_s: float | None = None
        self._failures = 0
        self._history_lost = False
        self._stale_limit_s = _STALE_S
        self.reads_count = 0
        self.pulls_count = 0

    @property
    def revision(self) -> int:
        """Revision up to which the values are known."""
        return self._records.revision

    def age_s(self) -> float:
        """Returns the time since the values were known to be current."""
        return float("inf") if self._synced_s is None else clock.now() - self._synced_s

    def changes_since(self, revision: int) -> tuple[list[record.Record], bool]:
        """Returns what a peer at `revision` lacks, and whether it is everything there is."""
        return self._records.changes_since(revision)

    async def run(self) -> None:
        """Reads until it is cancelled."""
        while True:
            if self.revision and not self._is_reader() and self.age_s() < self._limit_s():
                await asyncio.sleep(_CHECK_S)
                continue
            try:
                await self._read()
            except errors.StoreError as error:
                await self._back_off(error)

    def observe_peer(self, revision: int, age_s: float) -> bool:
        """Takes over what a peer says; returns whether it has newer values."""
        if revision > self.revision:
            return True
        if revision == self.revision and self.revision:
            self._mark_current(clock.now() - age_s)
        return False

    def apply_peer(
        self, records: Sequence[record.Record], revision: int, age_s: float, *, whole: bool
    ) -> None:
        """Takes over values that a peer sent."""
        if revision < self.revision:
            return
        self.pulls_count += 1
        after_outage = self.age_s() > _OUTAGE_S
        if whole:
            applied = self._records.apply_snapshot(records, revision)
        else:
            applied = self._records.apply_changes(records, revision)
        self._mark_current(clock.now() - age_s)
        if applied:
            self._on_records(applied, after_outage)

    async def _read(self) -> None:
        self.reads_count += 1
        after_outage = self.age_s() > _OUTAGE_S
        asked_s = clock.now()
        if not self.revision or self._history_lost:
            found = await self._source.read_all()
            self._history_lost = False
            applied = self._records.apply_snapshot(found.records, found.revision)
        else:
            wait_s = _WATCH_S if self._is_reader() else 0.0
            try:
                found = await self._source.watch(self.revision, wait_s)
            except errors.HistoryLostError:
                self._history_lost = True
                self._log.write("store_history_lost", revision=self.revision)
                return
            asked_s = max(asked_s, clock.now() - 0.05)
            applied = self._records.apply_changes(found.records, found.revision)
        if self._failures:
            self._log.write("store_regained", failures=self._failures, revision=self.revision)
        self._failures = 0
        self._stale_limit_s = _STALE_S + self._generator.random() * _STALE_JITTER_S
        self._mark_current(asked_s)
        if applied:
            self._on_records(applied, after_outage)
            await asyncio.sleep(_READ_PAUSE_S)

    async def _back_off(self, error: errors.StoreError) -> None:
        if not self._failures:
            self._log.write("store_lost", error=str(error), revision=self.revision)
        limit_s = _READER_BACKOFF_S if self._rank() <= _STANDBY_RANK else _OTHER_BACKOFF_S
        if not self.revision:
            limit_s = _READER_BACKOFF_S
        wait_s = min(_FIRST_BACKOFF_S * 2.0 ** min(self._failures, 8), limit_s)
        self._failures += 1
        await asyncio.sleep(wait_s * (0.75 + 0.5 * self._generator.random()))

    def _is_reader(self) -> bool:
        return self._rank() == _READER_RANK

    def _limit_s(self) -> float:
        """Returns the age of the values at which this node reads by itself."""
        return _STANDBY_STALE_S if self._rank() == _STANDBY_RANK else self._stale_limit_s

    def _mark_current(self, at_s: float) -> None:
        if self._synced_s is None or at_s > self._synced_s:
            self._synced_s = at_s
