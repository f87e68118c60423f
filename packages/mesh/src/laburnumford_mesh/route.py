"""One published route."""

import dataclasses

from laburnumford_mesh import weighted_service


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where requests with one host and path prefix go, and what may be done with them.

    Attributes:
        name: name of the route.
        host: host of the requests, in lower case.
        prefix: start of their path; begins and ends with a slash.
        services: services that share the requests.
        idempotent: whether a request may run more than once.
        timeout_s: longest time in seconds that a caller is kept waiting.
        target_latency_s: time in seconds within which an answer has its full worth.
        max_attempts: most backend servers that one request may be sent to.
        priority: rank, 0 is the highest.
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
