"""Entry of the pool of recent load reports of the Prequal chooser."""

import dataclasses


@dataclasses.dataclass(slots=True)
class PoolEntry:
    """Load report in the pool, with the calls that were sent on the basis of it.

    Attributes:
        name: name of the backend server.
        received_at: monotonic time in seconds at which the report arrived.
        in_flight: calls in flight according to the report, plus calls sent because of it.
        latency_s: reported service time in seconds, multiplied by the calls in flight per
            slot if there are more calls than slots.
        uses: number of calls that may still be sent because of this report.
    """

    name: str
    received_at: float
    in_flight: int
    latency_s: float
    uses: int
