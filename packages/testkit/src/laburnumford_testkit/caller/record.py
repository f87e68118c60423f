"""Record of one request of a test caller."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """One request of a call, with its answer.

    A call may take several requests: one that obtains a ticket, one with the
    ticket, and retries. They have the same `call` and different `call_id`s.
    Times are seconds of the monotonic clock, which all processes of one
    machine share.

    Attributes:
        call: id of the call.
        call_id: id of the request, sent as `x-call-id`.
        kind: kind of the call.
        ticket: ticket sent with the request, or empty.
        target: `ip:port` that the request was sent to.
        due: time at which the call was due to start.
        sent: time at which the request was written.
        answered: time of the end of the answer, None if it did not end.
        status: status of the answer, None if there was none.
        outcome: value of `laburnumford-outcome`.
        reason: value of `laburnumford-reason`.
        server: value of `x-server`.
        answer_id: value of `x-call-id` of the answer.
        answer_bytes: bytes of the body received.
        complete: whether the answer was received completely, as its framing declares.
        is_own_answer: whether the body has the expected length and the bytes of a request of this
            call; None without a complete 200 answer of a backend server, as no other answer is
            derived from an id.
        error: reason why there is no complete answer, or empty.
    """

    call: str
    call_id: str
    kind: str
    ticket: str = ""
    target: str = ""
    due: float = 0.0
    sent: float = 0.0
    answered: float | None = None
    status: int | None = None
    outcome: str = ""
    reason: str = ""
    server: str = ""
    answer_id: str = ""
    answer_bytes: int = 0
    complete: bool = False
    is_own_answer: bool | None = None
    error: str = ""
