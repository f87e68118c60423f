"""Answer of `TicketBook.begin`."""

import dataclasses

from laburnumford_policy.once import begin_state, kept_answer


@dataclasses.dataclass(frozen=True, kw_only=True)
class Begin:
    """What to do with a request that carries a ticket.

    Args:
        state: state of the ticket.
        answer: kept answer if the state is `DONE` and the answer was kept.
        reason: detail for traces, such as ``expired`` or ``restarted``.
        handover: number to pass to `TicketBook.abandon`; 0 unless the state is `FRESH`.
    """

    state: begin_state.BeginState
    answer: kept_answer.KeptAnswer | None = None
    reason: str = ""
    handover: int = 0
