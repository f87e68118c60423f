"""Load of one backend server as its adjacent node sees it."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """Load of one backend server.

    Has the fields of `laburnumford_policy.choice.load_report.LoadReport`.

    Args:
        running: requests that hold a slot.
        queued: requests that wait.
        limit: requests that may run at once.
        service_time_us: recent service time in microseconds.
    """

    running: int
    queued: int
    limit: int
    service_time_us: int
