"""Decision about one request, returned by `Admission.admit`."""

import dataclasses

from laburnumford_policy.admission import outcome as outcomes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """Admission decision about one request.

    Args:
        outcome: whether the request runs now, waits or is refused.
        reason: ``overloaded``, ``deadline`` or ``draining`` for a refusal, otherwise empty.
        shed: ids of queued entries of a lower priority that were shed to make room. They
            never run; their callers get the reason ``overloaded``.
    """

    outcome: outcomes.Outcome
    reason: str = ""
    shed: tuple[int, ...] = ()
