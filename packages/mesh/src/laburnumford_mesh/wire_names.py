"""Names of the header fields in messages to and from callers and backend servers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireNames:
    """Holds the header field names in lower case.

    Attributes:
        request_id: request id, different for each attempt of a caller; servers echo it.
        timeout_ms: time in milliseconds that the sender waits for the answer.
        signature: signature of a server in its answers.
        target_server: id of the only server that may run the request.
        load: load report of a server.
        not_run: marks an answer to a request that the server did not run.
        caller_service: service of the VM that sent the request.
        retry_after: seconds after which a refused caller may retry.
        server_id: id of the server in answers to health checks.
        rate_limit: requests per second that a server in trouble takes.
        cold_remaining: seconds until a server is warm, in answers to health checks.
        leaving: says in answers of a server that it is about to end.
    """

    request_id: bytes
    timeout_ms: bytes
    signature: bytes
    target_server: bytes
    load: bytes
    not_run: bytes
    caller_service: bytes
    retry_after: bytes
    server_id: bytes
    rate_limit: bytes
    leaving: bytes
    cold_remaining: bytes
