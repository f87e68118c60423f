"""Published route."""

import dataclasses

from laburnumford_mesh import weighted_service


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Defines the services and the request policy of one host and path prefix.

    Attributes:
        name: name of the route.
        host: host of the requests in lower case.
        prefix: path prefix of the requests; starts and ends with a slash.
        services: services that share the requests by weight.
        idempotent: whether a request may run more than once.
        timeout_s: longest time in seconds until the caller gets an answer.
        target_latency_s: time in seconds within which an answer has its full value.
        max_attempts: largest number of backend servers that may receive one request.
        priority: priority; 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    services: tuple[weighted_service.WeightedService, ...]
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int
