"""A call that this node is handling."""

import dataclasses

from laburnumford_node import payload, tracing
from laburnumford_node.http import fields, request
from laburnumford_objects import policy, route


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """Holds a routed request and what resend and dispatch decisions need to know about it.

    Attributes:
        received: request as received from the caller.
        route: route that matched.
        policy: policy in force for the route.
        service: name of the service.
        payload: body to forward.
        head: end-to-end header fields to forward, without the `laburnumford-` ones.
        deadline_s: monotonic time in seconds by which the caller needs the answer.
        resends: resends already made for the call, over all levels of nested calls.
        depth: levels of calls above this one; 0 for a call from outside.
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
