"""Measuring requests that a backend server has got, and their budget."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Measuring:
    """Cost of measuring one backend server.

    Attributes:
        server: name of the backend server.
        probes: time and bytes of each measuring request.
        calls_per_s: budget of requests per second.
        bytes_per_s: budget of bytes per second.
        burst_s: seconds of the budget that may be spent at once; a single request is always
            allowed.
    """

    server: str
    probes: tuple[tuple[float, int], ...]
    calls_per_s: float
    bytes_per_s: float
    burst_s: float = 1.0
