"""State of one server, as `Chooser.explain` returns it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Values on which a chooser bases the choice of one server.

    Attributes:
        name: name of the backend server.
        state: `ok`, `ramping`, `overdue` or `failing`; baseline choosers always return `ok`.
        estimate_s: estimated latency of a new call in seconds; None if the chooser makes no
            estimate.
        outstanding: number of calls that this node has sent and that have not ended.
        failure_score: from 0, no recent failures, to 1.
        report_age_s: age of the last load report in seconds; None without a report.
        service_time_s: service time in seconds that the estimate uses; None if unknown.
    """

    name: str
    state: str
    estimate_s: float | None
    outstanding: int
    failure_score: float = 0.0
    report_age_s: float | None = None
    service_time_s: float | None = None
