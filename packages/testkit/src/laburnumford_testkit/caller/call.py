"""What a caller asks for."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A kind of call; `share` weighs it in a mixed load.

    Attributes:
        kind: name in reports.
        method: HTTP method.
        path: target of the request.
        host: value of the Host header; default the address.
        share: weight in a mixed load.
        ticket: whether the call is sent at most once, under a ticket.
        work_ms: service time that the backend server takes; None leaves it to the server.
        answer_bytes: length of the answer.
        body_bytes: length of the request body.
        body_rate: bytes per second at which the body is sent; None for no limit.
        timeout_ms: time that the caller gives the call, also sent as a header.
        chunked_answer: whether the answer comes in chunks.
        headers: further headers.
    """

    kind: str = "lookup"
    method: str = "GET"
    path: str = "/"
    host: str | None = None
    share: float = 1.0
    ticket: bool = False
    work_ms: float | None = None
    answer_bytes: int = 200
    body_bytes: int = 0
    body_rate: float | None = None
    timeout_ms: int = 10_000
    chunked_answer: bool = False
    headers: tuple[tuple[str, str], ...] = ()
