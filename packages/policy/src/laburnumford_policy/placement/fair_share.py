"""Shares of one server's capacity, by request class, VM and connection of the caller.

Load pattern: more requests than a server can run, many of them from one caller that floods it or
from a request class whose callers come back at once after each refusal. First come, first served
gives capacity in proportion to the arrivals, so these take it from all others.

Each level divides the work of the level above equally among those that use it (max-min fairness):
first by request class, then by VM, then by connection. A caller that opens many connections
therefore takes nothing from callers at other VMs. Work that ended while nobody waited is not
counted, so that the use of an idle server is never held against a caller.
"""

import math
from collections.abc import Iterable

from laburnumford_policy.placement import share_claim, share_excess, share_usage

_MAX_NODES = 20_000
"""Bound on the usages that are kept: 64 VMs with 300 connections. Above it, connections are not
told apart. A usage takes about 220 bytes."""

_PRUNE_INTERVAL_S = 1.0
"""Seconds between two removals of unused nodes; half of the time constant."""

_MIN_COST_S = 0.001
"""Cost of a request whose service time is not known yet; a cost of 0 would never use a share."""

_TOLERANCE = 1.05
"""Usage above this multiple of the share counts as excess. With equal demand, usages differ by
single requests."""

_LEVELS = (
    share_excess.ShareLevel.REQUEST_CLASS,
    share_excess.ShareLevel.VM,
    share_excess.ShareLevel.CONNECTION,
)

_MAX_RETRY_AFTER_S = 2.0
"""Upper limit of the advised wait; by then, the demand of the others is likely to differ."""


class FairShare:
    """Compares the work that a server does for request classes, VMs and connections."""

    def __init__(self) -> None:
        self._root = share_usage.ShareUsage()
        self._claim_by_id: dict[int, share_claim.ShareClaim] = {}
        self._node_count = 0
        self._pruned_s = -math.inf

    def claim(
        self, request_class: str, vm: str, connection: int, cost_s: float
    ) -> share_claim.ShareClaim:
        """Returns the claim of a request.

        Args:
            request_class: name of the route.
            vm: VM at which the request entered.
            connection: connection of the caller, 0 if unknown.
            cost_s: expected service time in seconds.
        """
        return share_claim.ShareClaim(
            request_class=request_class,
            vm=vm,
            connection=connection if self._node_count < _MAX_NODES else 0,
            cost_s=max(cost_s, _MIN_COST_S),
        )

    def add(self, entry_id: int, claim: share_claim.ShareClaim) -> None:
        """Counts a request that waits or runs."""
        self._claim_by_id[entry_id] = claim
        for usage in self._usages(claim):
            usage.hold(claim.cost_s)

    def remove(self, entry_id: int) -> share_claim.ShareClaim | None:
        """Uncounts a request that has not run; returns its claim, None if it is not counted."""
        claim = self._claim_by_id.pop(entry_id, None)
        if claim is not None:
            for usage in self._usages(claim):
                usage.hold(-claim.cost_s)
        return claim

    def finish(self, entry_id: int, now: float, *, contended: bool) -> None:
        """Records the end of a run.

        Args:
            entry_id: the request.
            now: current time.
            contended: whether other requests wait; otherwise the run took nothing from them.
        """
        claim = self.remove(entry_id)
        if claim is not None and contended:
            self.charge(claim, now)
        self._prune(now)

    def charge(self, claim: share_claim.ShareClaim, now: float) -> None:
        """Counts work that is not held by a request, for example that of an accepted offer."""
        for usage in self._usages(claim):
            usage.observe_ended(now, claim.cost_s)

    def refund(self, claim: share_claim.ShareClaim, now: float) -> None:
        """Uncounts work that `charge` has counted."""
        for usage in self._usages(claim):
            usage.observe_ended(now, -claim.cost_s)

    def excess(self, claim: share_claim.ShareClaim, now: float) -> share_excess.ShareExcess:
        """Compares the usage of a claim with its share at each level.

        A class below its share is owed capacity, so none of its callers is above a share, however
        uneven they are. A VM below its share of a class that is above its own goes before the
        other VMs of that class, but after other classes.
        """
        rank = 0
        level = share_excess.ShareLevel.NONE
        exceeding_s = exceeded_s = 0.0
        parent: share_usage.ShareUsage = self._root
        parent_s = parent.total_s(now)
        for each, key in zip(_LEVELS, claim.path, strict=True):
            usage = parent.children.get(key)
            if usage is None:
                break
            siblings = len(parent.children)
            share_s = parent_s / siblings
            usage_s = usage.total_s(now)
            if siblings > 1 and usage_s <= share_s:
                break
            rank += 1
            if usage_s > _TOLERANCE * share_s > 0.0:
                level, exceeding_s, exceeded_s = each, usage_s, share_s
            parent, parent_s = usage, usage_s
        if not level:
            return share_excess.ShareExcess(rank=rank)
        return share_excess.ShareExcess(
            rank=rank,
            level=level,
            usage_s=exceeding_s,
            share_s=exceeded_s,
            retry_after_s=_decay_time_s(exceeding_s, exceeded_s),
        )

    def most_above(
        self,
        claim: share_claim.ShareClaim,
        entry_ids: Iterable[int],
        now: float,
        *,
        starving: bool = False,
    ) -> int | None:
        """Returns the request whose place a claim may take, None if there is none.

        It is one of those with the largest usage, level by level. At the first level at which the
        two differ, the usage of the claim must stay below that of the request, so that the two
        cannot displace each other in turn.

        Args:
            claim: the claim, not counted yet.
            entry_ids: requests that may be displaced; of equal ones the last is taken.
            now: current time.
            starving: whether the claim may take a place although its usage is larger.
        """
        best: int | None = None
        best_key: tuple[float, ...] = ()
        for entry_id in entry_ids:
            other = self._claim_by_id.get(entry_id)
            if other is None:
                continue
            key = self._key(other, now)
            if best is None or key >= best_key:
                best, best_key = entry_id, key
        if best is None or starving:
            return best
        below = self._is_below(claim, self._claim_by_id[best], best_key, now)
        return best if below else None

    def claim_of(self, entry_id: int) -> share_claim.ShareClaim | None:
        """Returns the claim of a counted request."""
        return self._claim_by_id.get(entry_id)

    def _is_below(
        self,
        claim: share_claim.ShareClaim,
        other: share_claim.ShareClaim,
        other_key: tuple[float, ...],
        now: float,
    ) -> bool:
        own_key = self._key(claim, now)
        levels = zip(claim.path, other.path, own_key, other_key, strict=True)
        for own, others, own_s, other_s in levels:
            if own != others:
                return own_s + claim.cost_s < other_s
        return False

    def _key(self, claim: share_claim.ShareClaim, now: float) -> tuple[float, ...]:
        """Returns the usages at all levels of a claim."""
        key: list[float] = []
        parent: share_usage.ShareUsage | None = self._root
        for each in claim.path:
            parent = None if parent is None else parent.children.get(each)
            key.append(0.0 if parent is None else parent.total_s(now))
        return tuple(key)

    def _usages(self, claim: share_claim.ShareClaim) -> list[share_usage.ShareUsage]:
        """Returns the usages of a claim at all levels, which are created if necessary."""
        usage = self._root
        found = [usage]
        for key in claim.path:
            child = usage.children.get(key)
            if child is None:
                child = usage.children[key] = share_usage.ShareUsage()
                self._node_count += 1
            usage = child
            found.append(usage)
        return found

    def _prune(self, now: float) -> None:
        if now - self._pruned_s >= _PRUNE_INTERVAL_S:
            self._pruned_s = now
            self._node_count = self._root.prune(now)


def _decay_time_s(usage_s: float, share_s: float) -> float:
    """Returns the time in which a usage falls to a share that others keep up."""
    return min(share_usage.TIME_CONSTANT_S * math.log(usage_s / share_s), _MAX_RETRY_AFTER_S)
