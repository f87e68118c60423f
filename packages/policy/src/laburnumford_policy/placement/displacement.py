"""Waiting request that gives way to another one."""

import dataclasses

from laburnumford_policy.placement import share_claim, share_excess, work_queue


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Displacement:
    """Request that was removed from the queue and must be refused.

    Attributes:
        entry: the request, which has not run.
        claim: its claim.
        excess: usage and share of its caller before the displacement.
    """

    entry: work_queue.WaitingRequest
    claim: share_claim.ShareClaim
    excess: share_excess.ShareExcess
