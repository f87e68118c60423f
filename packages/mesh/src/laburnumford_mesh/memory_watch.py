"""Log lines about bodies that did not fit into the memory of the process."""

from laburnumford_mesh import clock, event_log
from laburnumford_mesh.http import buffer_budget

_LOG_INTERVAL_S = 1.0
"""Seconds between two log lines; under overload most of the bodies are refused."""


class MemoryWatch:
    """Writes a log line when reservations were refused since the previous one.

    Args:
        budget: budget of the process.
        log: structured log.
    """

    def __init__(self, *, budget: buffer_budget.BufferBudget, log: event_log.EventLog) -> None:
        self._budget = budget
        self._log = log
        self._logged_count = 0
        self._last_log_s = -_LOG_INTERVAL_S

    def sweep(self) -> None:
        """Writes the log line if one is due."""
        now = clock.now()
        refused = self._budget.refusal_count - self._logged_count
        if not refused or now - self._last_log_s < _LOG_INTERVAL_S:
            return
        self._last_log_s = now
        self._logged_count = self._budget.refusal_count
        self._log.write(
            "memory_full",
            refused=refused,
            buffered_bytes=self._budget.reserved_bytes,
            limit_bytes=self._budget.max_bytes,
        )

    def gauges(self) -> dict[str, float]:
        """Returns the metrics of the budget by their names."""
        return {
            "buffered_bytes": self._budget.reserved_bytes,
            "buffered_bytes_limit": self._budget.max_bytes,
            "memory_refusals_total": self._budget.refusal_count,
        }
