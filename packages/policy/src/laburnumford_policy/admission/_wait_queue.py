"""Queue of requests that wait for a slot, ordered by priority and age."""

import collections
import dataclasses
from collections.abc import Callable, Iterator

from laburnumford_policy.admission import entry as entries
from laburnumford_policy.admission import priority as priorities


@dataclasses.dataclass(frozen=True, kw_only=True)
class _QueuedEntry:
    """An entry and the time at which it was queued."""

    entry: entries.Entry
    queued_at: float


class WaitQueue:
    """Queues entries that wait for a slot, in one queue per priority.

    The queue whose oldest entry has the lowest ``queued_at + rank * ageing_s`` is served
    next. Ageing prevents starvation: an entry waits at most ``ageing_s`` longer per rank
    than entries of a higher priority that were queued after it.

    Args:
        ageing_s: seconds of waiting that raise an entry by one rank of priority.
        newest_first: whether the newest entry of a priority is served first.
    """

    def __init__(self, *, ageing_s: float, newest_first: bool) -> None:
        self._ageing_s = ageing_s
        self._newest_first = newest_first
        self._queues_by_rank: tuple[collections.deque[_QueuedEntry], ...] = tuple(
            collections.deque() for _ in priorities.PRIORITIES
        )

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues_by_rank)

    def _queued_entries(self) -> Iterator[_QueuedEntry]:
        for queue in self._queues_by_rank:
            yield from queue

    def _effective_queue_time(self, rank: int, queued_at: float) -> float:
        return queued_at + rank * self._ageing_s

    def count_ahead(self, entry: entries.Entry, now: float) -> int:
        """Returns how many queued entries are served before one that is queued at `now`."""
        own_rank = priorities.RANK_BY_PRIORITY[entry.priority]
        own_effective_time = self._effective_queue_time(own_rank, now)
        return sum(
            not (self._newest_first and rank == own_rank)
            and self._effective_queue_time(rank, queued.queued_at) <= own_effective_time
            for rank, queue in enumerate(self._queues_by_rank)
            for queued in queue
        )

    def push(self, entry: entries.Entry, now: float) -> None:
        """Adds an entry to the queue of its priority."""
        rank = priorities.RANK_BY_PRIORITY[entry.priority]
        self._queues_by_rank[rank].append(_QueuedEntry(entry=entry, queued_at=now))

    def pop(self) -> entries.Entry | None:
        """Removes and returns the entry that is served next, or None if there is none."""
        rank = min(
            (rank for rank, queue in enumerate(self._queues_by_rank) if queue),
            key=lambda rank: self._effective_queue_time(
                rank, self._queues_by_rank[rank][0].queued_at
            ),
            default=None,
        )
        if rank is None:
            return None
        queue = self._queues_by_rank[rank]
        return (queue.pop() if self._newest_first else queue.popleft()).entry

    def shed_below(self, priority: str) -> entries.Entry | None:
        """Removes and returns the newest entry of the lowest priority below `priority`.

        Returns None if no entry has a lower priority.
        """
        own_rank = priorities.RANK_BY_PRIORITY[priority]
        for queue in reversed(self._queues_by_rank[own_rank + 1 :]):
            if queue:
                return queue.pop().entry
        return None

    def remove_if(self, matches: Callable[[entries.Entry], bool]) -> tuple[int, ...]:
        """Removes the entries that match and returns their ids."""
        removed = tuple(
            queued.entry.entry_id for queued in self._queued_entries() if matches(queued.entry)
        )
        if removed:
            for queue in self._queues_by_rank:
                kept = [queued for queued in queue if not matches(queued.entry)]
                queue.clear()
                queue.extend(kept)
        return removed
