"""Admission to the queue of one server by the fair shares of the callers.

Load pattern: see `fair_share`. A request that finds room is queued as without shares, so an idle
server behaves as before. Where there is no room, a request of a caller below its share takes the
place of a waiting one of a caller above it. A displaced request has not run, because only waiting
requests are displaced, and it is removed from the queue, so it never will.
"""

import dataclasses
from collections.abc import Callable

from laburnumford_policy.placement import (
    fair_share,
    served_ratios,
    share_claim,
    share_excess,
    work_queue,
)

_MAX_DISPLACED = 4
"""Requests that one request displaces at most. Short ones of a flooding caller may all have to go
for one long request, but each refusal makes the caller return."""


class FairAdmission:
    """Decides which requests wait for one server, and which of them give way to others.

    Args:
        queue: the waiting requests. Its owner adds and removes requests; only displaced ones are
            removed here.
    """

    def __init__(self, *, queue: work_queue.WorkQueue) -> None:
        self._queue = queue
        self._share = fair_share.FairShare()
        self._ratios = served_ratios.ServedRatios()

    def claim(
        self, request_class: str, vm: str, connection: int, cost_s: float
    ) -> share_claim.ShareClaim:
        """Returns the claim of a request; the arguments are those of `FairShare.claim`."""
        return self._share.claim(request_class, vm, connection, cost_s)

    def rank(
        self,
        entry: work_queue.WaitingRequest,
        claim: share_claim.ShareClaim,
        now: float,
    ) -> work_queue.WaitingRequest:
        """Counts the arrival of a request; returns its entry with its place in the queue's order.

        Within a priority, requests of callers above their share go last. One of a starving class
        is raised and keeps its place.
        """
        self._ratios.observe_arrival(
            entry.request_class, entry.priority, entry.deadline_s - now, now
        )
        if self._ratios.is_starving(entry.request_class):
            priority = self._ratios.effective_priority(entry.request_class, entry.priority)
            return dataclasses.replace(entry, priority=priority, displaceable=False)
        rank = self.excess(claim, now).rank if entry.displaceable else 0
        return dataclasses.replace(entry, share_rank=rank) if rank else entry

    def make_room(
        self,
        entry: work_queue.WaitingRequest,
        claim: share_claim.ShareClaim,
        now: float,
        fits: Callable[[int], bool],
    ) -> list[work_queue.WaitingRequest]:
        """Displaces requests so that another one can wait; returns them, none if that fails.

        Args:
            entry: the request, ranked and not queued yet.
            claim: its claim.
            now: current time.
            fits: returns whether the request is in time with a number of requests fewer ahead.
        """
        starving = self._ratios.is_starving(entry.request_class)
        candidate_by_id = {
            other.entry_id: other
            for other in self._queue.ahead_of(entry, now)
            if other.displaceable
            and other.priority == entry.priority
            and not (starving and self._ratios.is_starving(other.request_class))
        }
        chosen: list[tuple[work_queue.WaitingRequest, share_claim.ShareClaim]] = []
        while len(chosen) < _MAX_DISPLACED:
            found = self._share.most_above(claim, candidate_by_id, now, starving=starving)
            if found is None:
                break
            removed = self._share.remove(found)
            if removed is None:
                break
            chosen.append((candidate_by_id.pop(found), removed))
            if fits(len(chosen)):
                return [self._displace(each, now) for each, _ in chosen]
        for each, removed in chosen:
            self._share.add(each.entry_id, removed)
        return []

    def crowd_out(
        self, now: float, end_s: Callable[[work_queue.WaitingRequest, int], float]
    ) -> list[work_queue.WaitingRequest]:
        """Displaces and returns requests above their share that would now be answered too late.

        Args:
            now: current time.
            end_s: returns the expected time of the answer to a request behind a number of others.
        """
        displaced: list[work_queue.WaitingRequest] = []
        for position, entry in enumerate(self._queue.in_order(now)):
            if not entry.share_rank or not entry.displaceable:
                continue
            if end_s(entry, position - len(displaced)) <= entry.late_after_s:
                continue
            claim = self._share.claim_of(entry.entry_id)
            if claim is not None and self.excess(claim, now).level:
                self._share.remove(entry.entry_id)
                displaced.append(self._displace(entry, now))
        return displaced

    def accept(
        self,
        entry: work_queue.WaitingRequest,
        claim: share_claim.ShareClaim,
        now: float,
        *,
        offer_accepted: bool,
    ) -> None:
        """Counts a request that waits from now on."""
        if offer_accepted:
            self._share.refund(claim, now)
        else:
            self._ratios.observe_accepted(entry.request_class, now)
        self._share.add(entry.entry_id, claim)

    def reserve(self, claim: share_claim.ShareClaim, now: float) -> None:
        """Counts an accepted offer, whose work loses weight if the request never comes."""
        self._share.charge(claim, now)
        self._ratios.observe_accepted(claim.request_class, now)

    def withdraw(self, entry: work_queue.WaitingRequest, now: float) -> None:
        """Uncounts a waiting request that is refused; a displaced one is uncounted already."""
        if self._share.remove(entry.entry_id) is not None:
            self._ratios.observe_accepted(entry.request_class, now, withdrawn=True)

    def cancel(self, entry_id: int) -> None:
        """Uncounts a request that the caller has cancelled before it ran."""
        self._share.remove(entry_id)

    def finish(self, entry_id: int, now: float) -> None:
        """Records the end of a run."""
        self._share.finish(entry_id, now, contended=len(self._queue) > 0)

    def excess(self, claim: share_claim.ShareClaim, now: float) -> share_excess.ShareExcess:
        """Returns by how much a request's class, VM or connection is above its share."""
        return self._share.excess(claim, now)

    def claim_of(self, entry_id: int) -> share_claim.ShareClaim | None:
        """Returns the claim of a request that waits or runs."""
        return self._share.claim_of(entry_id)

    def _displace(self, entry: work_queue.WaitingRequest, now: float) -> work_queue.WaitingRequest:
        self._queue.remove(entry.entry_id)
        self._ratios.observe_accepted(entry.request_class, now, withdrawn=True)
        return entry
