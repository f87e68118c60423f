"""Entry of the pool of recent load reports."""

import dataclasses


@dataclasses.dataclass(slots=True)
class PoolEntry:
    """One load report in the pool; its load grows with each use.

    Attributes:
        name: name of the backend server.
        received_at: time of the report.
        in_flight: reported calls in flight plus calls sent on this report.
        latency_s: reported service time, stretched by the reported queue.
        uses: calls that may still be sent on this report.
    """

    name: str
    received_at: float
    in_flight: int
    latency_s: float
    uses: int
