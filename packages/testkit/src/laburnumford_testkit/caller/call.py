"""Description of a call that a test caller makes."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A kind of call, with the request that each call of this kind sends.

    Attributes:
        kind: name of this kind of call in records and reports.
        method: HTTP method.
        path: target of the request, with its query.
        host: value of the Host header; None sends the address of the node or server.
        share: weight in a load of several kinds.
        ticket: not read; a caller uses a ticket whenever a 428 answer issues one.
        work_ms: service time that the backend server is asked for; None leaves it to the server.
        answer_bytes: length of the answer body.
        body_bytes: length of the request body.
        body_rate: bytes per second at which the body is sent; None for no limit.
        timeout_ms: timeout of each request of the call, also sent as a header.
        chunked_answer: whether the answer is asked for in the chunked transfer coding.
        headers: further header fields, as pairs of name and value.
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
