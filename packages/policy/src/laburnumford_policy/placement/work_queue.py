"""Priority queue of the requests that wait for a server's slots.

Load pattern: a burst on one service, in which first-come, first-served makes every request of the
burst late. Requests that can still be answered in time go first, by priority and then by soft
deadline. A call that a running request waits for has little time left, so it goes before new
requests. Requests that cannot meet their deadline any more are shed at once.
"""

import dataclasses
import math
from collections.abc import Callable

_WAIT_MARGIN = 2.0
"""Slowdowns and requests of a higher priority prolong the wait. At saturation the queue is as
long as it is allowed to be, and without a margin half of its requests end late."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaitingRequest:
    """A request that waits for a slot.

    Attributes:
        entry_id: number that the queue's owner assigned.
        priority: 0 is the highest.
        soft_deadline_s: time until which an answer has its full value.
        late_after_s: time after which an answer counts as late. It is later than
            `soft_deadline_s` for short calls, which a request running on another server waits for.
        deadline_s: time after which an answer has no value.
        request_class: key by which service times are learned.
        share_rank: place among the requests of its priority by the fair share of its caller; lower
            ones go first.
        displaceable: whether a request of a caller below its share may take its place.
    """

    entry_id: int
    priority: int
    soft_deadline_s: float
    late_after_s: float
    deadline_s: float
    request_class: str
    share_rank: int = 0
    displaceable: bool = True


class WorkQueue:
    """Holds the waiting requests of one server.

    Args:
        service_time_s: returns the expected service time of a request class that starts now.
    """

    def __init__(self, *, service_time_s: Callable[[str], float]) -> None:
        self._service_time_s = service_time_s
        self._waiting_by_id: dict[int, WaitingRequest] = {}
        self._last_crowded_out_s = -math.inf

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def add(self, entry: WaitingRequest) -> None:
        """Adds a request."""
        self._waiting_by_id[entry.entry_id] = entry

    def remove(self, entry_id: int) -> bool:
        """Removes a request; returns whether it was waiting."""
        return self._waiting_by_id.pop(entry_id, None) is not None

    def count_ahead_of(self, entry: WaitingRequest, now: float) -> int:
        """Returns how many waiting requests would run before this one."""
        order = self._sort_key(entry, now)
        return sum(self._sort_key(other, now) <= order for other in self._waiting_by_id.values())

    def in_order(self, now: float) -> list[WaitingRequest]:
        """Returns the waiting requests in the order in which they would run."""
        return sorted(self._waiting_by_id.values(), key=lambda entry: self._sort_key(entry, now))

    def ahead_of(self, entry: WaitingRequest, now: float) -> list[WaitingRequest]:
        """Returns the waiting requests that would run before this one."""
        order = self._sort_key(entry, now)
        return [
            other for other in self._waiting_by_id.values() if self._sort_key(other, now) <= order
        ]

    def should_enqueue(
        self,
        entry: WaitingRequest,
        now: float,
        wait_s: float,
        reserved: int = 0,
        limit_wait_s: float = 0.0,
    ) -> bool:
        """Returns whether a request should wait here.

        A request that will be late takes a slot from one that would be in time, so it waits only
        if no other request does and if none that could be in time was refused lately.

        Args:
            entry: the request.
            now: current time.
            wait_s: expected time until a slot is free.
            reserved: accepted offers whose requests have not arrived.
            limit_wait_s: time until the rate limit of the server admits the request, which
                slowdowns do not prolong.
        """
        service_time_s = self._service_time_s(entry.request_class)
        end_s = now + max(_WAIT_MARGIN * wait_s, limit_wait_s) + service_time_s
        if end_s <= entry.late_after_s:
            return True
        late = self._is_late(entry, now)
        others = bool(self._waiting_by_id) or reserved > 0
        crowded = late and now - self._last_crowded_out_s < service_time_s
        if end_s <= entry.deadline_s and not others and not crowded:
            return True
        if not late:
            self._last_crowded_out_s = now
        return False

    def shed(self, now: float) -> list[WaitingRequest]:
        """Removes and returns the requests that should not wait any longer.

        These cannot be answered before their deadline any more, or would be late and delay
        others that would be in time.
        """
        waiting = list(self._waiting_by_id.values())
        any_in_time = not all(self._is_late(entry, now) for entry in waiting)
        removed = [
            entry
            for entry in waiting
            if now + self._service_time_s(entry.request_class) > entry.deadline_s
            or (any_in_time and self._is_late(entry, now))
        ]
        for entry in removed:
            del self._waiting_by_id[entry.entry_id]
        return removed

    def shed_unreachable(self, now: float, wait_s: Callable[[int], float]) -> list[WaitingRequest]:
        """Removes and returns the requests whose turn comes too late for their deadline.

        Args:
            now: current time.
            wait_s: returns the seconds until a request behind a number of other ones may start.
        """
        removed: list[WaitingRequest] = []
        ahead = 0
        for entry in self.in_order(now):
            end_s = now + wait_s(ahead) + self._service_time_s(entry.request_class)
            if end_s > entry.deadline_s:
                removed.append(entry)
            else:
                ahead += 1
        for entry in removed:
            del self._waiting_by_id[entry.entry_id]
        return removed

    def _is_late(self, entry: WaitingRequest, now: float) -> bool:
        return now + self._service_time_s(entry.request_class) > entry.late_after_s

    def pop_next(self, now: float) -> WaitingRequest | None:
        """Removes and returns the request to run next."""
        if not self._waiting_by_id:
            return None
        best = min(self._waiting_by_id.values(), key=lambda entry: self._sort_key(entry, now))
        del self._waiting_by_id[best.entry_id]
        return best

    def _sort_key(self, entry: WaitingRequest, now: float) -> tuple[bool, int, int, float]:
        late = self._is_late(entry, now)
        return (
            late,
            entry.priority,
            entry.share_rank,
            entry.deadline_s if late else entry.soft_deadline_s,
        )
