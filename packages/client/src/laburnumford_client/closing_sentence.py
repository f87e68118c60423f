"""States in one sentence why a request ended as it did."""

import collections

from laburnumford_client import event_values, reason_text, request_step, step_text, timeline

_WAIT_SHARE = 0.5
"""Share of an attempt's time above which its wait is the main part of it."""


def write(shown: timeline.Timeline) -> str:
    """Returns the sentence for a request."""
    final = shown.final
    if final is None:
        return _unfinished(shown)
    if final.name == "answered":
        return _answered(shown, final)
    if final.name == "refused":
        return _refused(shown, final)
    if final.name == "failed":
        return _failed(shown, final)
    return "Rejected with 404: no route of the configuration matched; it did not run."


def _answered(shown: timeline.Timeline, final: request_step.Step) -> str:
    status = event_values.text(final.event, "status")
    used = next(
        (
            step
            for step in reversed(shown.attempts)
            if event_values.text(step.event, "status") == status
        ),
        None,
    )
    if used is None:
        return f"Answered with {status}; no log has the attempt that gave the response."
    text = f"Answered with {status} by {used.server} because {_choice(used)}"
    others = [step for step in shown.attempts if step.reason]
    if others:
        text += f"; other attempts: {_count(others)}"
    return f"{text}; {_duration(used)}{_cause_text(used)}."


def _choice(used: request_step.Step) -> str:
    """Returns why an attempt went to its server."""
    other = " although it is in another zone" if used.event.get("other_zone") is True else ""
    if used.hedge:
        return f"the first attempt exceeded its expected time and it had a free slot{other}"
    expected_ms = event_values.number(used.event, "expected_ms")
    servers = event_values.numbers(used.event, "servers", 2)
    reason = "it was chosen"
    if expected_ms is not None:
        reason = f"it was expected to answer first ({expected_ms:g} ms)"
    if servers is None:
        return reason + other
    left = servers[0] - servers[1]
    return f"{reason} of {left:g} {'server' if left == 1 else 'servers'} not tried yet{other}"


def _duration(used: request_step.Step) -> str:
    ms = event_values.number(used.event, "ms") or 0.0
    work_ms = event_values.number(used.event, "work_ms")
    if work_ms is None:
        return f"it took {ms:g} ms"
    waited_ms = step_text.wait_ms(used.event)
    text = (
        f"of {ms:g} ms it worked {work_ms:g} ms and spent {waited_ms:.1f} ms in wait and transfer"
    )
    if waited_ms <= _WAIT_SHARE * ms:
        return text
    load = event_values.numbers(used.event, "load", 3)
    if load is None:
        return text
    slowness = event_values.number(used.event, "slowness")
    slow = "" if slowness is None else f" at slowness {slowness:g}"
    return f"{text}, with {load[0]:g} running and {load[1]:g} waiting{slow} at the end"


def _refused(shown: timeline.Timeline, final: request_step.Step) -> str:
    text = f"Rejected with 503 and not run: {reason_text.meaning(final.reason)}"
    refused = [step for step in shown.attempts if step.reason]
    if refused:
        text += f" ({_count(refused)})"
    elif final.reason == "deadline":
        text += _time_left(final)
    return f"{text}{_cause_text(final, *refused)}."


def _failed(shown: timeline.Timeline, final: request_step.Step) -> str:
    status = event_values.text(final.event, "status")
    text = f"Failed with {status}, and may have run: {reason_text.meaning(final.reason)}"
    tried = [step for step in shown.attempts if step.reason]
    if tried:
        text += f" ({_count(tried)})"
        text += _overdue(tried[-1])
    return f"{text}{_cause_text(final, *tried)}."


def _overdue(last: request_step.Step) -> str:
    """Returns how long an attempt waited that was cancelled, with the time that was expected."""
    ms = event_values.number(last.event, "ms")
    expected_ms = event_values.number(last.event, "expected_ms")
    if last.reason != "cancelled" or ms is None or expected_ms is None:
        return ""
    return f"; {last.server} had not answered after {ms:g} ms, expected were {expected_ms:g} ms"


def _unfinished(shown: timeline.Timeline) -> str:
    last = shown.steps[-1]
    text = f"No log has the final answer; the last event is {last.name}"
    if last.reason:
        text += f" ({last.reason}: {reason_text.meaning(last.reason)})"
    return (
        f"{text}. The caller disconnected, the node ended, or its line was left out or is in"
        " another file."
    )


def _time_left(final: request_step.Step) -> str:
    service_ms = event_values.number(final.event, "service_ms")
    remaining_ms = event_values.number(final.event, "remaining_ms")
    if service_ms is None or remaining_ms is None:
        return ""
    return f" (work expected {service_ms:g} ms, time left {remaining_ms:g} ms)"


def _count(steps: list[request_step.Step]) -> str:
    """Returns the reasons of attempts with their servers, the most frequent first."""
    servers_by_reason: dict[str, list[str]] = collections.defaultdict(list)
    for step in steps:
        servers_by_reason[step.reason].append(step.server)
    ordered = sorted(servers_by_reason.items(), key=lambda item: -len(item[1]))
    return ", ".join(f"{reason} at {' and '.join(servers)}" for reason, servers in ordered)


def _cause_text(*steps: request_step.Step) -> str:
    """Returns the conditions that explain the steps, each meaning once."""
    found = {
        text: f"{text} ({event['event']} on {event_values.text(event, 'node')})"
        for step in steps
        for event, text in step.causes
    }
    return "".join(f"; {text}" for text in found.values())
