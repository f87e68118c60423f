"""Describes the events about a request with the figures of their decisions."""

from typing import Any

from laburnumford_client import event_values, reason_text, request_step


def describe(step: request_step.Step) -> str:
    """Returns one line of text about an event, with the figures of its decision."""
    describe_event = _DESCRIBE_BY_EVENT.get(step.name)
    if describe_event is None:
        return f"{step.name} {event_values.format_figures(step.event)}".rstrip()
    return describe_event(step)


def _describe_attempt(step: request_step.Step) -> str:
    event = step.event
    parts = [("second copy sent to " if step.hedge else "sent to ") + (step.server or "a server")]
    zone = event_values.text(event, "zone")
    if zone:
        other = " (other zone)" if event.get("other_zone") is True else ""
        parts[0] += f" in {zone}{other}"
    parts += [*_choice_parts(event), _outcome(step), *_report_parts(event)]
    return "; ".join(parts)


def _choice_parts(event: dict[str, Any]) -> list[str]:
    parts = []
    servers = event_values.numbers(event, "servers", 2)
    if servers is not None:
        parts.append(f"{servers[0]:g} servers known, {servers[1]:g} already tried")
    expected_ms = event_values.number(event, "expected_ms")
    service_ms = event_values.number(event, "service_ms")
    if expected_ms is not None and service_ms is not None:
        parts.append(f"answer expected in {expected_ms:g} ms, of it work {service_ms:g} ms")
    view = event_values.numbers(event, "view", 3)
    if view is not None:
        slowness = event_values.number(event, "view_slowness")
        parts.append(
            f"known load {view[0]:g}, sent since {view[1]:g}, limit {view[2]:g}"
            + ("" if slowness is None else f", estimated slowness {slowness:g}")
        )
    return parts


def _outcome(step: request_step.Step) -> str:
    event = step.event
    if event.get("refused") is not None:
        wait_s = event_values.number(event, "retry_after_s")
        wait = "" if wait_s is None else f", expected wait {wait_s * 1000:g} ms"
        return f"refused: {step.reason}{wait} ({reason_text.meaning(step.reason)})"
    if event.get("unknown") is not None:
        return f"outcome unknown: {step.reason} ({reason_text.meaning(step.reason)})"
    ms, work_ms = event_values.number(event, "ms"), event_values.number(event, "work_ms")
    status = event_values.text(event, "status")
    if ms is None or work_ms is None:
        return f"status {status}"
    return f"status {status}: work {work_ms:g} ms, wait and transfer {wait_ms(event):.1f} ms"


def wait_ms(event: dict[str, Any]) -> float:
    """Returns the milliseconds that an attempt took beyond the work of the server."""
    ms, work_ms = event_values.number(event, "ms"), event_values.number(event, "work_ms")
    return max((ms or 0.0) - (work_ms or 0.0), 0.0)


def _report_parts(event: dict[str, Any]) -> list[str]:
    load = event_values.numbers(event, "load", 3)
    if load is None:
        return []
    slowness = event_values.number(event, "slowness")
    age_s = event_values.number(event, "slowness_age_s")
    text = f"its node reported running {load[0]:g}, waiting {load[1]:g}, limit {load[2]:g}"
    if slowness is not None:
        text += f", slowness {slowness:g}"
        text += "" if age_s is None else f" ({age_s * 1000:g} ms old)"
    return [text]


def _describe_final(step: request_step.Step) -> str:
    event = step.event
    status = {"refused": "503", "no_route": "404"}.get(step.name)
    parts = [f"{step.name} with {status or event_values.text(event, 'status')}"]
    if step.reason:
        parts[0] += f": {step.reason} ({reason_text.meaning(step.reason)})"
    retry_after_s = event_values.number(event, "retry_after_s")
    if retry_after_s is not None:
        parts.append(f"Retry-After {retry_after_s:g} s")
    parts += _end_parts(event)
    version = event_values.text(event, "version")
    if version:
        parts.append(f"configuration version {version}")
    return "; ".join(parts)


def _end_parts(event: dict[str, Any]) -> list[str]:
    parts = []
    servers = event_values.numbers(event, "servers", 2)
    if servers is not None:
        parts.append(f"{servers[0]:g} servers known, {servers[1]:g} of them blocked")
    service_ms = event_values.number(event, "service_ms")
    remaining_ms = event_values.number(event, "remaining_ms")
    if service_ms is not None and remaining_ms is not None:
        parts.append(f"work expected {service_ms:g} ms, time left {remaining_ms:g} ms")
    age_s = event_values.number(event, "values_age_s")
    if age_s is not None:
        parts.append(f"published values {age_s:g} s old")
    return parts


_DESCRIBE_BY_EVENT = {
    "attempt": _describe_attempt,
    "answered": _describe_final,
    "failed": _describe_final,
    "refused": _describe_final,
    "no_route": _describe_final,
}
