"""A failed attempt."""

import dataclasses

from laburnumford_policy.retry import proof as proofs


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """A failed attempt.

    Args:
        proof: whether the attempt can have run.
        reason: value of ``laburnumford-reason``, such as ``overloaded``.
        levels_below: 0 if the server that this node chose or its adjacent node failed;
            more if the failure comes from a call that this server made.
    """

    proof: proofs.Proof
    reason: str
    levels_below: int = 0
