"""Names of the header fields that the node shares with callers and backend servers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WireNames:
    """Header field names in lower case.

    Attributes:
        request_id: id of one attempt of a caller; servers echo it.
        timeout_ms: milliseconds that the sender still waits.
        signature: signature that a server puts on its answers.
        target_server: id of the server that alone may run the request.
        load: load report of a server.
        not_run: marks an answer to a request that the server did not run.
        caller_service: service of the VM where the request began.
        retry_after: seconds after which a refused caller may come back.
        server_id: id of the server, on answers of its health path.
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
