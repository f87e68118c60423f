"""Selects the callers that receive load reports of a server.

Load pattern: a large fleet in which each node calls a server rarely. A server keeps its speed for
about 150 ms, so a report is outdated long before most callers call again, and reports to all of
them cost more than the calls that they improve. Every answer carries a report as well, and a node
without a recent report learns of a slowdown from a refusal.
"""

_CALLER_LIFETIME_S = 0.3
"""Seconds; twice the time for which a server keeps its speed. A node that has not called for
longer seldom calls again before the report is outdated."""

_MAX_TARGETS = 12
"""Reports to more callers than these congest links of 5 Mbit/s in a burst."""


class ReportTargets:
    """Remembers the recent callers of a server."""

    def __init__(self) -> None:
        self._called_s_by_address: dict[str, float] = {}

    def observe_call(self, address: str, now: float) -> None:
        """Records a call."""
        self._called_s_by_address.pop(address, None)
        self._called_s_by_address[address] = now

    def targets(self, now: float) -> list[str]:
        """Returns the addresses of the recent callers, the latest caller last."""
        self._called_s_by_address = {
            address: called_s
            for address, called_s in self._called_s_by_address.items()
            if now - called_s <= _CALLER_LIFETIME_S
        }
        return list(self._called_s_by_address)[-_MAX_TARGETS:]
