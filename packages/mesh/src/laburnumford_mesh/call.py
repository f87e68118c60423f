"""One request of a caller on its way to a backend server."""

import dataclasses

from laburnumford_node.http import fields


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A routed request.

    Attributes:
        request_id: id for logs.
        service: service that shall run it.
        route_name: its route; also the kind of work by which times are learned.
        method: request method.
        target: request target.
        fields: end-to-end fields for the server.
        body: the whole body.
        idempotent: whether it may run more than once.
        priority: rank, 0 is the highest.
        max_attempts: most servers that it may be sent to.
        arrived_s: when it arrived, of `clock.now`.
        aim_s: time until which an answer has its full worth.
        deadline_s: time after which nobody waits for an answer.
    """

    request_id: str
    service: str
    route_name: str
    method: bytes
    target: bytes
    fields: list[fields.Field]
    body: bytes
    idempotent: bool
    priority: int
    max_attempts: int
    arrived_s: float
    aim_s: float
    deadline_s: float
