"""Routed request of a caller."""

import dataclasses

from laburnumford_node.http import fields

_SERVICE_TIME_SHARE = 1 / 3
"""Share of the published target latency that a request is assumed to take on an idle server."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """Request of a caller with the settings of its route.

    Attributes:
        request_id: request id that the logs use.
        service: name of the service that runs the request.
        route_name: name of the route; service times are learned by it.
        method: request method.
        target: request target.
        fields: end-to-end header fields for the server.
        body: the complete body.
        idempotent: whether the request may run more than once.
        priority: priority; 0 is the highest.
        max_attempts: largest number of servers that may receive the request.
        arrived_s: time of `clock.now` when the request was received.
        target_latency_s: published time in seconds within which an answer has its full value.
        soft_deadline_s: time until which an answer has its full value; it is earlier for callers
            that have already waited.
        deadline_s: time after which the caller no longer waits for an answer.
        connection: number of the caller's connection, 0 if unknown.
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
    target_latency_s: float
    soft_deadline_s: float
    deadline_s: float
    connection: int = 0

    @property
    def default_service_time_s(self) -> float:
        """Service time in seconds that is assumed until one has been observed.

        It is always shorter than the time that the caller waits: a kind of request that was refused
        because of the assumed time would never be observed.
        """
        return min(self.target_latency_s, self.deadline_s - self.arrived_s) * _SERVICE_TIME_SHARE
