"""Answer of `Admission.admit`."""

import dataclasses

from laburnumford_policy.admission import outcome as outcomes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """Decision about one request.

    Args:
        outcome: whether the request runs now, waits or is refused.
        reason: ``overloaded``, ``deadline`` or ``draining`` for a refusal, otherwise empty.
        shed: ids of queued entries of a lower priority that were pushed out to make
            room. They never run; their callers get ``overloaded``.
    """

    outcome: outcomes.Outcome
    reason: str = ""
    shed: tuple[int, ...] = ()
