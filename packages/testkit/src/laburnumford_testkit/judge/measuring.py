"""Measuring requests that a backend server has received, and their budget."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class MeasuringLoad:
    """Measuring requests of one backend server and the budget that they must fit.

    Attributes:
        server: name of the backend server.
        requests: time (seconds) and size (bytes) of each measuring request.
        calls_per_s: budget of requests per second.
        bytes_per_s: budget of bytes per second.
        burst_s: seconds of the budget that may be spent at once. A burst may always hold the
            largest single request, unless the budget is 0.
    """

    server: str
    requests: tuple[tuple[float, int], ...]
    calls_per_s: float
    bytes_per_s: float
    burst_s: float = 1.0
