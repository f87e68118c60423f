"""Record of one request that a backend server processes."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """A request that a backend server has begun to process.

    Times are seconds of the monotonic clock, which all processes of one
    machine share.

    Attributes:
        run_id: number of the run, unique from the start of the server to its end.
        server: name of the backend server.
        call_id: value of `x-call-id`, or empty.
        key: value of `idempotency-key`, or empty.
        method: HTTP method.
        path: target of the request.
        started: time at which the run began.
        ended: time at which the run ended; None while it runs, and also if the server is killed
            before.
        status: status of the answer, None if none was begun.
        cancelled: whether the run was cancelled because its connection was lost.
        body_bytes: bytes of the request body received.
        answer_whole: whether the answer was written completely.
    """

    run_id: int
    server: str
    call_id: str
    key: str
    method: str
    path: str
    started: float
    ended: float | None = None
    status: int | None = None
    cancelled: bool = False
    body_bytes: int = 0
    answer_whole: bool = False
