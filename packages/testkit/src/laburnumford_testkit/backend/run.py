"""One run of a request on a backend server."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """A request that a backend server has begun to process.

    Times are seconds of the monotonic clock, which all processes of one
    machine share. `ended` is None while the request runs, and stays None if
    the server is killed.
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
