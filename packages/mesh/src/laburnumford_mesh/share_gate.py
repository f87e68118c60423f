"""Fair sharing at the node beside a server: requests as claims, log lines and metrics."""

import collections
import math
from collections.abc import Callable

from laburnumford_mesh import clock, event_log, frames, metrics
from laburnumford_policy.placement import (
    displacement,
    fair_admission,
    share_claim,
    share_excess,
    work_queue,
)

_LOG_INTERVAL_S = 1.0
"""Seconds between two log lines about one request class. A flood causes hundreds of refusals a
second; a line carries the numbers since the last one."""


class ShareGate:
    """Applies the fair shares of callers to the requests of frames.

    Args:
        queue: the waiting requests.
        log: structured log.
        counters: metrics.
    """

    def __init__(
        self,
        *,
        queue: work_queue.WorkQueue,
        log: event_log.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        self._admission = fair_admission.FairAdmission(queue=queue)
        self._log = log
        self._metrics = counters
        self._logged_s_by_class: dict[str, float] = {}
        self._refused_by_class: collections.Counter[str] = collections.Counter()
        self._displaced_by_class: collections.Counter[str] = collections.Counter()

    def rank(
        self,
        entry: work_queue.WaitingRequest,
        request: frames.Request | frames.Offer,
        cost_s: float,
        *,
        short: bool,
    ) -> work_queue.WaitingRequest:
        """Returns the entry of a new request with its place in the order of the queue."""
        return self._admission.rank(entry, self._claim(request, cost_s), clock.now(), short=short)

    def must_yield(self, entry: work_queue.WaitingRequest) -> bool:
        """Returns whether a class of a higher priority is served worse than that of a request."""
        return self._admission.must_yield(entry)

    def make_room(
        self,
        entry: work_queue.WaitingRequest,
        request: frames.Request | frames.Offer,
        cost_s: float,
        fits: Callable[[int], bool],
    ) -> list[displacement.Displacement]:
        """Displaces requests so that another one can wait; returns them, none if that fails."""
        return self._admission.make_room(entry, self._claim(request, cost_s), clock.now(), fits)

    def crowd_out(
        self, end_s: Callable[[work_queue.WaitingRequest, int], float]
    ) -> list[displacement.Displacement]:
        """Displaces and returns requests above their share that would be answered too late."""
        return self._admission.crowd_out(clock.now(), end_s)

    def accept(
        self, entry: work_queue.WaitingRequest, request: frames.Request, cost_s: float
    ) -> None:
        """Counts a request that waits from now on."""
        self._admission.accept(
            entry,
            self._claim(request, cost_s),
            clock.now(),
            offer_accepted=request.offer_accepted,
        )

    def reserve(self, offer: frames.Offer, cost_s: float) -> None:
        """Counts an accepted offer."""
        self._admission.reserve(self._claim(offer, cost_s), clock.now())

    def withdraw(self, entry: work_queue.WaitingRequest) -> None:
        """Uncounts a waiting request that is refused."""
        self._admission.withdraw(entry, clock.now())

    def cancel(self, entry_id: int) -> None:
        """Uncounts a waiting request that its sender has cancelled."""
        self._admission.cancel(entry_id)

    def finish(self, entry_id: int) -> None:
        """Records the end of a run."""
        self._admission.finish(entry_id, clock.now())

    def observe_refused(
        self, request: frames.Request | frames.Offer, cost_s: float
    ) -> share_excess.ShareExcess:
        """Counts a request that finds no room; returns by how much its caller is above its share."""
        claim = self._claim(request, cost_s)
        excess = self._admission.excess(claim, clock.now())
        self._metrics.count("overload_refusals_total", claim.request_class)
        if excess.level:
            self._refused_by_class[claim.request_class] += 1
            self._write(claim, excess)
        return excess

    def observe_displaced(self, displaced: displacement.Displacement) -> None:
        """Counts a displaced request."""
        request_class = displaced.claim.request_class
        self._metrics.count("displaced_requests_total", request_class)
        self._metrics.count("overload_refusals_total", request_class)
        self._displaced_by_class[request_class] += 1
        self._write(displaced.claim, displaced.excess)

    def _claim(
        self, request: frames.Request | frames.Offer, cost_s: float
    ) -> share_claim.ShareClaim:
        return self._admission.claim(
            request.request_class, request.caller_vm, request.caller_connection, cost_s
        )

    def _write(self, claim: share_claim.ShareClaim, excess: share_excess.ShareExcess) -> None:
        now = clock.now()
        request_class = claim.request_class
        if now - self._logged_s_by_class.get(request_class, -math.inf) < _LOG_INTERVAL_S:
            return
        self._logged_s_by_class[request_class] = now
        self._log.write(
            "share_exceeded",
            request_class=request_class,
            vm=claim.vm,
            connection=claim.connection,
            level=excess.level.name.lower(),
            usage_s=round(excess.usage_s, 3),
            share_s=round(excess.share_s, 3),
            refused=self._refused_by_class.pop(request_class, 0),
            displaced=self._displaced_by_class.pop(request_class, 0),
        )
