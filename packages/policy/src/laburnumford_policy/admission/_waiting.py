"""Bounded queue with one line per priority."""

import collections
import dataclasses
from collections.abc import Callable, Iterator

from laburnumford_policy.admission import entry as entries
from laburnumford_policy.admission import priority as priorities


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Waiter:
    """An entry and the time at which it was queued."""

    entry: entries.Entry
    queued_at: float


class Waiting:
    """Entries that wait for a slot, one line per priority.

    The line whose oldest entry has the lowest ``queued_at + rank * ageing_s`` is served
    next. A lower priority thus waits at most ``ageing_s`` longer per rank than the
    entries of a higher one that came later.

    Args:
        ageing_s: seconds of waiting that make up for one rank of priority.
        newest_first: whether the newest entry of a line is served first.
    """

    def __init__(self, *, ageing_s: float, newest_first: bool) -> None:
        self._ageing_s = ageing_s
        self._newest_first = newest_first
        self._lines: tuple[collections.deque[_Waiter], ...] = tuple(
            collections.deque() for _ in priorities.PRIORITIES
        )

    def __len__(self) -> int:
        return sum(len(line) for line in self._lines)

    def _waiters(self) -> Iterator[_Waiter]:
        for line in self._lines:
            yield from line

    def _key(self, rank: int, queued_at: float) -> float:
        return queued_at + rank * self._ageing_s

    def ahead(self, entry: entries.Entry, now: float) -> int:
        """Returns how many waiting entries go before an entry that is queued at `now`."""
        own_rank = priorities.RANK_BY_PRIORITY[entry.priority]
        own_key = self._key(own_rank, now)
        return sum(
            not (self._newest_first and rank == own_rank)
            and self._key(rank, waiter.queued_at) <= own_key
            for rank, line in enumerate(self._lines)
            for waiter in line
        )

    def push(self, entry: entries.Entry, now: float) -> None:
        """Adds an entry."""
        rank = priorities.RANK_BY_PRIORITY[entry.priority]
        self._lines[rank].append(_Waiter(entry=entry, queued_at=now))

    def pop(self) -> entries.Entry | None:
        """Removes and returns the entry that is served next."""
        rank = min(
            (rank for rank, line in enumerate(self._lines) if line),
            key=lambda rank: self._key(rank, self._lines[rank][0].queued_at),
            default=None,
        )
        if rank is None:
            return None
        line = self._lines[rank]
        return (line.pop() if self._newest_first else line.popleft()).entry

    def shed_below(self, priority: str) -> entries.Entry | None:
        """Removes and returns the newest entry of the lowest priority below `priority`."""
        own_rank = priorities.RANK_BY_PRIORITY[priority]
        for line in reversed(self._lines[own_rank + 1 :]):
            if line:
                return line.pop().entry
        return None

    def remove_if(self, matches: Callable[[entries.Entry], bool]) -> tuple[int, ...]:
        """Removes the entries that match and returns their ids."""
        removed = tuple(w.entry.entry_id for w in self._waiters() if matches(w.entry))
        if removed:
            for line in self._lines:
                kept = [waiter for waiter in line if not matches(waiter.entry)]
                line.clear()
                line.extend(kept)
        return removed
