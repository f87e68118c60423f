"""Failed attempt of a call."""

import dataclasses

from laburnumford_policy.retry import proof as proofs


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """Failed attempt of a call.

    Args:
        proof: what is known about whether the attempt has run.
        reason: value of ``laburnumford-reason``, such as ``overloaded``.
        levels_below: 0 if the server that this node chose, or the node adjacent to it,
            failed; more if the failure comes from a nested call of that server.
    """

    proof: proofs.Proof
    reason: str
    levels_below: int = 0
