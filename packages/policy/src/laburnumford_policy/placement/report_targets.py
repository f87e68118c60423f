"""Chooses the callers that are told how loaded a server is.

Answers the load pattern of a large fleet in which each node calls a server now and then: a
report is outdated after the 150 ms for which a server keeps its speed, long before most of
the callers call again, and reports to all of them cost more than the calls that they improve.
Every answer carries a report as well, and a node that knows no report is told by a refusal.
"""

_MEMORY_S = 0.3
"""Seconds; twice the time for which a server keeps its speed. A node that has not called for
longer seldom calls again before the report is outdated."""

_MAX_TARGETS = 12
"""Reports to more than the last callers choke links of 5 Mbit/s in a burst."""


class ReportTargets:
    """Remembers who called a moment ago."""

    def __init__(self) -> None:
        self._called_s_by_address: dict[str, float] = {}

    def observe_call(self, address: str, now: float) -> None:
        """Notes a call."""
        self._called_s_by_address.pop(address, None)
        self._called_s_by_address[address] = now

    def targets(self, now: float) -> list[str]:
        """Returns who is told; the one that called last comes last."""
        self._called_s_by_address = {
            address: called_s
            for address, called_s in self._called_s_by_address.items()
            if now - called_s <= _MEMORY_S
        }
        return list(self._called_s_by_address)[-_MAX_TARGETS:]
