"""Properties of a call that determine whether it may be resent."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallProperties:
    """Properties of a call that determine whether it may be resent.

    Args:
        idempotent: whether the call may run more than once.
        deadline: monotonic time in seconds at which the answer must be complete.
        resends: number of resends of this call so far, over all levels of nested calls.
        depth: number of calls above this one in the chain of nested calls; 0 for a call
            from outside.
    """

    idempotent: bool
    deadline: float
    resends: int
    depth: int
