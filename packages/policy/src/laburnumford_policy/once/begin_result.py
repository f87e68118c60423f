"""Result of `TicketStore.begin`."""

import dataclasses

from laburnumford_policy.once import begin_state, kept_answer


@dataclasses.dataclass(frozen=True, kw_only=True)
class BeginResult:
    """State of a ticket at the start of a request, and the data to handle the request.

    Args:
        state: state of the ticket before the request.
        answer: the kept answer if the state is `DONE` and the answer is still kept.
        reason: detail for logs and traces, such as ``expired`` or ``restarted``.
        dispatch_id: number to pass to `TicketStore.release`; 0 unless the state is `FRESH`.
    """

    state: begin_state.BeginState
    answer: kept_answer.KeptAnswer | None = None
    reason: str = ""
    dispatch_id: int = 0
