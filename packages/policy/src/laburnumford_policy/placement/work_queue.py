"""Order of the requests that wait for a server's slots.

Answers the load pattern of a burst on one service: first come, first served makes every
request of the burst late. Requests that can still be answered in time go first, by rank and
then by the time that is left; a call that a running request waits for is short of time and so
goes before new work. What can no longer be answered before its deadline is given up at once.
"""

import dataclasses
from collections.abc import Callable

_WAIT_MARGIN = 2.0
"""Slow spells and requests of a higher rank stretch the wait. At saturation the queue is as
long as it is allowed to be, and without a margin half of its requests end late."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaitingRequest:
    """One request that waits.

    Attributes:
        entry_id: number that the owner gave it.
        priority: rank, 0 is the highest.
        aim_s: time by which the answer is wanted.
        useful_until_s: time until which an answer has its full worth. It is later than
            `aim_s` for short calls, which a run elsewhere waits for.
        deadline_s: time until which an answer has any worth.
        work_key: kind of work.
    """

    entry_id: int
    priority: int
    aim_s: float
    useful_until_s: float
    deadline_s: float
    work_key: str


class WorkQueue:
    """Keeps the waiting requests of one server.

    Args:
        work_s: returns the expected time of a kind of work that starts now.
    """

    def __init__(self, *, work_s: Callable[[str], float]) -> None:
        self._work_s = work_s
        self._waiting_by_id: dict[int, WaitingRequest] = {}

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def add(self, entry: WaitingRequest) -> None:
        """Adds a request."""
        self._waiting_by_id[entry.entry_id] = entry

    def remove(self, entry_id: int) -> bool:
        """Removes a request; returns whether it was there."""
        return self._waiting_by_id.pop(entry_id, None) is not None

    def ahead_of(self, entry: WaitingRequest, now: float) -> int:
        """Returns how many waiting requests would go before this one."""
        rank = self._rank(entry, now)
        return sum(self._rank(other, now) <= rank for other in self._waiting_by_id.values())

    def has_room_for(
        self, entry: WaitingRequest, now: float, wait_s: float, coming: int = 0
    ) -> bool:
        """Returns whether it is worth while for a request to wait.

        A request that will be late takes a slot from one that would not be, so it waits only
        where no other does.

        Args:
            entry: the request.
            now: current time.
            wait_s: expected time until a slot is free.
            coming: requests that were promised a place and have not arrived.
        """
        end_s = now + _WAIT_MARGIN * wait_s + self._work_s(entry.work_key)
        if end_s <= entry.useful_until_s:
            return True
        return end_s <= entry.deadline_s and not self._waiting_by_id and not coming

    def pop_hopeless(self, now: float) -> list[WaitingRequest]:
        """Removes and returns the requests for which waiting has become useless.

        These cannot be answered before their deadline any more, or would be late and hold up
        others that would not be.
        """
        waiting = list(self._waiting_by_id.values())
        others_in_time = not all(self._is_late(entry, now) for entry in waiting)
        useless = [
            entry
            for entry in waiting
            if now + self._work_s(entry.work_key) > entry.deadline_s
            or (others_in_time and self._is_late(entry, now))
        ]
        for entry in useless:
            del self._waiting_by_id[entry.entry_id]
        return useless

    def _is_late(self, entry: WaitingRequest, now: float) -> bool:
        return now + self._work_s(entry.work_key) > entry.useful_until_s

    def pop_next(self, now: float) -> WaitingRequest | None:
        """Removes and returns the request to run next."""
        if not self._waiting_by_id:
            return None
        best = min(self._waiting_by_id.values(), key=lambda entry: self._rank(entry, now))
        del self._waiting_by_id[best.entry_id]
        return best

    def _rank(self, entry: WaitingRequest, now: float) -> tuple[bool, int, float]:
        late = self._is_late(entry, now)
        return (late, entry.priority, entry.deadline_s if late else entry.aim_s)
