"""Selects what the logs of all nodes say about one request."""

import dataclasses
from collections.abc import Iterable
from typing import Any

from laburnumford_client import cause, event_values

_ADJACENT_EVENTS = frozenset(
    {
        "answer_broken",
        "probe_failed",
        "rate_limit_changed",
        "server_changed",
        "server_draining",
        "server_lost",
        "server_regained",
    }
)
"""Events that a node logs about the server beside it."""

_CLOCK_SKEW_S = 0.1
"""Each node uses its own clock, so an event of another node may seem later than its effect."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Gap:
    """Lines that a node left out of its log.

    Attributes:
        node: name of the node.
        from_s: Unix time of the line before the gap, minus infinity at the start of a log.
        until_s: Unix time of the line after it.
        lines: number of lines that were left out.
    """

    node: str
    from_s: float
    until_s: float
    lines: int


class RequestLog:
    """Events about one request, and those that can explain decisions about it.

    Memory grows with the number of logged conditions and gaps, not with that of requests.

    Args:
        request_id: id of the request.

    Attributes:
        events: events about the request in the order of the files.
    """

    def __init__(self, *, request_id: str) -> None:
        self._request_id = request_id
        self._conditions: list[dict[str, Any]] = []
        self._gaps: list[Gap] = []
        self._last_s_by_node: dict[str, float] = {}
        self._node_by_server: dict[str, str] = {}
        self.events: list[dict[str, Any]] = []

    def add_all(self, events: Iterable[dict[str, Any]]) -> None:
        """Adds the events of logs."""
        for event in events:
            self._add(event)
        self._conditions.sort(key=lambda event: float(event["time"]))

    def _add(self, event: dict[str, Any]) -> None:
        self._observe_gap(event)
        if event["event"] in _ADJACENT_EVENTS and "server" in event:
            self._node_by_server[str(event["server"])] = str(event.get("node"))
        if event["event"] in cause.EVENTS:
            self._conditions.append(event)
        if event.get("id") == self._request_id and event not in self.events:
            # The same line occurs twice if a file is passed twice.
            self.events.append(event)

    def _observe_gap(self, event: dict[str, Any]) -> None:
        node, time_s = str(event.get("node")), float(event["time"])
        dropped = event_values.number(event, "dropped_lines")
        if dropped:
            from_s = self._last_s_by_node.get(node, float("-inf"))
            self._gaps.append(Gap(node=node, from_s=from_s, until_s=time_s, lines=int(dropped)))
        self._last_s_by_node[node] = time_s

    def gaps(self, from_s: float, until_s: float) -> list[Gap]:
        """Returns the gaps that overlap a time."""
        return [gap for gap in self._gaps if gap.from_s <= until_s and gap.until_s >= from_s]

    def condition(self, sought: cause.Cause, decision: dict[str, Any]) -> dict[str, Any] | None:
        """Returns the latest event of a condition that held during a decision, or None.

        The condition holds at a node until that node logs its end.
        """
        ended_s, started_s = float(decision["time"]), event_values.start_s(decision)
        found_by_node: dict[str, dict[str, Any]] = {}
        for event in self._conditions:
            if event["time"] > ended_s + _CLOCK_SKEW_S:
                break
            if event["event"] not in (sought.event, sought.ended_by):
                continue
            if not self._concerns(sought, event, decision):
                continue
            if not sought.is_end(event):
                found_by_node[str(event.get("node"))] = event
            elif event["time"] <= started_s:
                found_by_node.pop(str(event.get("node")), None)
        found = max(found_by_node.values(), key=lambda event: float(event["time"]), default=None)
        if found is None or sought.max_age_s is None:
            return found
        return found if ended_s - found["time"] <= sought.max_age_s else None

    def _concerns(
        self, sought: cause.Cause, event: dict[str, Any], decision: dict[str, Any]
    ) -> bool:
        if sought.same_node and event.get("node") != decision.get("node"):
            return False
        for name in sought.match:
            if name in event and decision.get(name) is not None:
                if event[name] != decision[name]:
                    return False
            elif name == "server" and not self._may_adjoin(event, decision):
                return False
        return True

    def _may_adjoin(self, event: dict[str, Any], decision: dict[str, Any]) -> bool:
        """Returns whether an event can be that of the node that decided.

        This is the node of the server, or for a decision without a server the logging one.
        """
        if decision.get("server") is None:
            return bool(event.get("node") == decision.get("node"))
        node = self._node_by_server.get(str(decision["server"]))
        return node is None or node == event.get("node")
