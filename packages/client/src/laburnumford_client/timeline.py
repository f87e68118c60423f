"""Orders the decisions about one request over all nodes."""

import dataclasses
from typing import Any

from laburnumford_client import cause, event_values, request_log, request_step

_FINAL_EVENTS = frozenset({"answered", "failed", "refused", "no_route"})
"""Events of the answer to the caller."""

_ROUNDING_S = 0.0005
"""Logged times and durations are rounded to 0.1 ms."""


class Timeline:
    """Decisions about one request over all nodes.

    Args:
        log: events of the request, at least one, and the conditions.

    Attributes:
        steps: all steps in the order of their start; the final answer is last.
        final: the final answer to the caller, or None if no log has it.
        from_s: Unix time at which the request arrived, as far as it is known.
        until_s: Unix time of the last step.
        gaps: lines that nodes left out of their logs in that time.
    """

    def __init__(self, *, log: request_log.RequestLog) -> None:
        events = sorted(log.events, key=_order)
        self.steps = _create_steps(events, log)
        self.final = next(
            (step for step in reversed(self.steps) if step.name in _FINAL_EVENTS), None
        )
        self.from_s = min(step.start_s for step in self.steps)
        self.until_s = max(float(step.event["time"]) for step in self.steps)
        nodes = {str(step.event.get("node")) for step in self.steps}
        self.gaps = [gap for gap in log.gaps(self.from_s, self.until_s) if gap.node in nodes]

    @property
    def attempts(self) -> list[request_step.Step]:
        """Attempts at servers in the order of their start."""
        return [step for step in self.steps if step.name == "attempt"]


def _order(event: dict[str, Any]) -> tuple[bool, float]:
    final = event["event"] in _FINAL_EVENTS
    return (final, float(event["time"]) if final else event_values.start_s(event))


def _create_steps(
    events: list[dict[str, Any]], log: request_log.RequestLog
) -> list[request_step.Step]:
    subject = _subject(events)
    steps: list[request_step.Step] = []
    last_end_s = float("-inf")
    for event in events:
        start_s = event_values.start_s(event)
        attempt = event["event"] == "attempt"
        step = request_step.Step(
            event=event,
            start_s=start_s,
            hedge=attempt and _is_hedge(event, last_end_s),
            causes=(),
        )
        causes = _find_causes(step, subject | event, log)
        steps.append(dataclasses.replace(step, causes=causes))
        if attempt:
            last_end_s = max(last_end_s, float(event["time"]))
    return steps


def _is_hedge(event: dict[str, Any], last_end_s: float) -> bool:
    """Returns whether an attempt was a second copy.

    Lines of earlier releases do not say so; there an attempt that began before the end of an
    earlier one counts.
    """
    if "hedge" in event:
        return event["hedge"] is True
    return event_values.start_s(event) + _ROUNDING_S < last_end_s


def _subject(events: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns service and request class, which only the final answer states."""
    found: dict[str, Any] = {}
    for event in events:
        if event.get("service") is not None:
            found["service"] = event["service"]
        if event.get("route") is not None:
            found["request_class"] = event["route"]
    return found


def _find_causes(
    step: request_step.Step, decision: dict[str, Any], log: request_log.RequestLog
) -> tuple[tuple[dict[str, Any], str], ...]:
    sought = cause.CAUSES_BY_REASON.get(step.reason, ())
    if decision.get("other_zone") is True:
        sought += cause.OTHER_ZONE_CAUSES
    found = ((log.condition(each, decision), each.text) for each in sought)
    return tuple((event, text) for event, text in found if event is not None)
