"""Row of the explanation that a chooser gives."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What a chooser knows about one server.

    Attributes:
        name: name of the backend server.
        state: `ok`, `ramping`, `overdue` or `failing`; baselines always report `ok`.
        estimate_s: estimated time to answer in seconds; None if the chooser makes no estimate.
        outstanding: calls sent by this node and not ended.
        failure_score: 0 for no recent failures up to 1.
        report_age_s: age of the last load report in seconds; None without a report.
        service_time_s: service time that the estimate uses; None if unknown.
    """

    name: str
    state: str
    estimate_s: float | None
    outstanding: int
    failure_score: float = 0.0
    report_age_s: float | None = None
    service_time_s: float | None = None
