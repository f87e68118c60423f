"""Facts about a call that decide about its resends."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallFacts:
    """Facts about a call.

    Args:
        idempotent: whether the call may run more than once.
        deadline: monotonic time in seconds at which the answer must be complete.
        resends: resends already spent on this call, over all levels.
        depth: levels of calls above this one; 0 for a call from outside.
    """

    idempotent: bool
    deadline: float
    resends: int
    depth: int
