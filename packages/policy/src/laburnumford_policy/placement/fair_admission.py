"""Admission to the queue of one server by the fair shares of the callers.

Load pattern: see `fair_share`. A request that finds room is queued as without shares, so an idle
server behaves as before. Where there is no room, a request of a caller below its share takes the
place of a waiting one of a caller above it. A displaced request has not run, because only waiting
requests are displaced, and it is removed from the queue, so it never will.
"""

import dataclasses
from collections.abc import Callable

from laburnumford_policy.placement import (
    displacement,
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
        *,
        short: bool = False,
    ) -> work_queue.WaitingRequest:
        """Counts the arrival of a request; returns its entry with its place in the queue's order.

        Within a priority, requests of callers above their share go last. One of a starving class
        is raised and keeps its place. So does a call that a running request probably waits for:
        it is short, and its caller has less time left than a new request of its class.

        Args:
            entry: the request.
            claim: its claim.
            now: current time.
            short: whether its service time is short.
        """
        remaining_s = entry.deadline_s - now
        new = self._ratios.observe_arrival(entry.request_class, entry.priority, remaining_s, now)
        if self._ratios.is_starving(entry.request_class):
            priority = self._ratios.effective_priority(entry.request_class, entry.priority)
            return dataclasses.replace(entry, priority=priority, displaceable=False)
        rank = self.excess(claim, now).rank
        displaceable = new or not short
        if not rank and displaceable:
            return entry
        return dataclasses.replace(entry, share_rank=rank, displaceable=displaceable)

    def make_room(
        self,
        entry: work_queue.WaitingRequest,
        claim: share_claim.ShareClaim,
        now: float,
        fits: Callable[[int], bool],
    ) -> list[displacement.Displacement]:
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
        chosen: list[displacement.Displacement] = []
        while len(chosen) < _MAX_DISPLACED:
            found = self._share.most_above(claim, candidate_by_id, now, starving=starving)
            if found is None:
                break
            chosen.append(self._uncount(candidate_by_id.pop(found), now))
            if fits(len(chosen)):
                for each in chosen:
                    self._dequeue(each, now)
                return chosen
        for each in chosen:
            self._share.add(each.entry.entry_id, each.claim)
        return []

    def crowd_out(
        self, now: float, end_s: Callable[[work_queue.WaitingRequest, int], float]
    ) -> list[displacement.Displacement]:
        """Displaces and returns requests above their share that would now be answered too late.

        Args:
            now: current time.
            end_s: returns the expected time of the answer to a request behind a number of others.
        """
        displaced: list[displacement.Displacement] = []
        for position, entry in enumerate(self._queue.in_order(now)):
            if not position or not entry.share_rank or not entry.displaceable:
                # Nothing goes before the first request, so sharing is not why it is late.
                continue
            if end_s(entry, position - len(displaced)) <= entry.late_after_s:
                continue
            claim = self._share.claim_of(entry.entry_id)
            if claim is not None and self.excess(claim, now).level:
                displaced.append(self._uncount(entry, now))
                self._dequeue(displaced[-1], now)
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

    def _uncount(self, entry: work_queue.WaitingRequest, now: float) -> displacement.Displacement:
        claim = self._share.claim_of(entry.entry_id)
        if claim is None:
            raise KeyError(f"request {entry.entry_id} waits but is not counted")
        excess = self.excess(claim, now)
        self._share.remove(entry.entry_id)
        return displacement.Displacement(entry=entry, claim=claim, excess=excess)

    def _dequeue(self, displaced: displacement.Displacement, now: float) -> None:
        self._queue.remove(displaced.entry.entry_id)
        self._ratios.observe_accepted(displaced.entry.request_class, now, withdrawn=True)
