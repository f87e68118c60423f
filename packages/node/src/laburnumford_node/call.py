"""One call while this node handles it."""

import dataclasses

from laburnumford_node import payload, tracing
from laburnumford_node.http import fields, request
from laburnumford_objects import policy, route


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A routed request with everything that decisions about it need.

    Attributes:
        received: the request.
        route: route that matched.
        policy: policy in force for the route.
        service: name of the service.
        payload: body to send on.
        head: end-to-end header fields without the system's own ones.
        deadline_s: monotonic time by which the caller needs the answer.
        resends: resends already spent on the call, over all levels.
        depth: levels of calls above this one.
        idempotent: whether the request may run more than once.
        span: span of this hop.
    """

    received: request.Request
    route: route.Route
    policy: policy.Policy
    service: str
    payload: payload.Payload
    head: list[fields.Field]
    deadline_s: float
    resends: int
    depth: int
    idempotent: bool
    span: tracing.HopSpan
