"""Counts what nodes decided about requests, by interval of time."""

import collections
import dataclasses
import statistics
from typing import Any

_FINAL_EVENTS = frozenset({"answered", "refused", "failed"})


@dataclasses.dataclass(slots=True)
class Interval:
    """Decisions of one interval.

    Attributes:
        finals: number of final answers, by event and status or reason.
        attempts: number of attempts, by status or reason.
        refusals_by_server: number of refused attempts, by server.
        running: requests that ran on the server at the end of each answered attempt.
        waiting: requests that waited in its node then.
        slowness: slowness of the server in the report of each attempt.
        wait_ms: milliseconds that answered attempts took beyond the work of the server.
        work_ms: milliseconds of work.
    """

    finals: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    attempts: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    refusals_by_server: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    running: list[float] = dataclasses.field(default_factory=list)
    waiting: list[float] = dataclasses.field(default_factory=list)
    slowness: list[float] = dataclasses.field(default_factory=list)
    wait_ms: list[float] = dataclasses.field(default_factory=list)
    work_ms: list[float] = dataclasses.field(default_factory=list)

    def to_json(self) -> dict[str, Any]:
        """Returns counts by name and the median and 90th percentile of each list of values."""
        document: dict[str, Any] = {
            "finals": dict(self.finals),
            "attempts": dict(self.attempts),
            "refusals_by_server": dict(self.refusals_by_server.most_common(5)),
        }
        for name in ("running", "waiting", "slowness", "wait_ms", "work_ms"):
            document[name] = quantiles(getattr(self, name))
        return document


class DecisionTable:
    """Assigns events to intervals.

    Args:
        interval_s: length of an interval in seconds.
        service: service whose requests are counted, None for all. Attempts do not name their
            service, so they count once a final answer has told the service of the request.

    Attributes:
        by_start: intervals by their start in Unix seconds.
    """

    def __init__(self, *, interval_s: float, service: str | None = None) -> None:
        self._interval_s = interval_s
        self._service = service
        self.by_start: dict[float, Interval] = {}
        self._attempts_by_id: dict[str, list[dict[str, Any]]] = {}

    def add(self, event: dict[str, Any]) -> None:
        """Adds one event of a log; others than attempts and final answers are ignored."""
        if event["event"] == "attempt":
            if self._service is None:
                self._add_attempt(event)
            else:
                self._attempts_by_id.setdefault(str(event.get("id")), []).append(event)
        elif event["event"] in _FINAL_EVENTS:
            attempts = self._attempts_by_id.pop(str(event.get("id")), [])
            if self._service in (None, event.get("service")):
                for attempt in attempts:
                    self._add_attempt(attempt)
                outcome = event.get("reason") or event.get("status")
                self._interval(event).finals[f"{event['event']} {outcome}"] += 1

    def _interval(self, event: dict[str, Any]) -> Interval:
        start = event["time"] // self._interval_s * self._interval_s
        return self.by_start.setdefault(start, Interval())

    def _add_attempt(self, event: dict[str, Any]) -> None:
        interval = self._interval(event)
        reason = event.get("refused") or event.get("unknown")
        interval.attempts[str(reason or event.get("status"))] += 1
        if event.get("refused"):
            interval.refusals_by_server[str(event.get("server"))] += 1
        if "slowness" in event:
            interval.slowness.append(float(event["slowness"]))
        if "work_ms" in event:
            interval.work_ms.append(float(event["work_ms"]))
            interval.wait_ms.append(float(event["ms"]) - float(event["work_ms"]))
            if "load" in event:
                interval.running.append(float(event["load"][0]))
                interval.waiting.append(float(event["load"][1]))


def quantiles(values: list[float]) -> tuple[float, float] | None:
    """Returns the median and the 90th percentile, or None without values."""
    if not values:
        return None
    if len(values) == 1:
        return (values[0], values[0])
    tenths = statistics.quantiles(values, n=10, method="inclusive")
    return (tenths[4], tenths[8])
