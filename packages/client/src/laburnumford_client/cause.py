"""Conditions that nodes log once and that affect many requests."""

import dataclasses
from typing import Any

_MOMENT_S = 2.0
"""Seconds for which an event without an end is related to a request. Nodes limit the number of
such lines, so the nearest one may belong to an earlier request."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cause:
    """Relates the events of a condition to the decisions that it explains.

    Attributes:
        event: event that begins the condition.
        ended_by: event that ends it, empty if none does.
        text: what the condition means.
        match: fields whose values must equal those of the decision where both have them.
        same_node: whether the node that decided must have logged the event.
        max_age_s: age in seconds up to which the event counts, None if it counts until it ends.
        value: field without whose value, if it is null or 0, the event ends the condition.
    """

    event: str
    text: str
    match: tuple[str, ...]
    ended_by: str = ""
    same_node: bool = False
    max_age_s: float | None = None
    value: str = ""

    def is_end(self, event: dict[str, Any]) -> bool:
        """Returns whether an event ends the condition."""
        if event["event"] == self.event:
            return self.value in event and not event[self.value]
        return bool(self.ended_by) and event["event"] == self.ended_by


_DRAINING = Cause(event="server_draining", text="the server was draining", match=("server",))
_DOWN = Cause(
    event="server_lost",
    ended_by="server_regained",
    text="the server accepted no connection",
    match=("server",),
)
_COLD = Cause(
    event="server_cold",
    ended_by="server_warm",
    text="the server was cold and took a limited rate of requests",
    match=("server",),
)
_RATE_LIMIT = Cause(
    event="rate_limit_changed",
    text="the server advertised a rate limit",
    match=("server",),
    value="per_s",
)
_EVACUATED = Cause(
    event="zone_evacuated",
    ended_by="zone_restored",
    text="the zone was evacuated",
    match=("zone",),
)
_EVACUATED_FOR_SENDER = dataclasses.replace(_EVACUATED, same_node=True)
_MEMORY = Cause(
    event="memory_full",
    text="the memory for bodies was used up",
    match=("server",),
    max_age_s=_MOMENT_S,
)
_SHARE = Cause(
    event="share_exceeded",
    text="the request class or the caller was above its share of the contended server",
    match=("server", "service", "route", "request_class", "id"),
    max_age_s=_MOMENT_S,
)
_STORE = Cause(
    event="store_lost",
    ended_by="store_regained",
    text="the store was unreachable",
    match=(),
    same_node=True,
)
_OVERFLOW = Cause(
    event="zone_overflow",
    text="a share of the service's requests was sent to other zones",
    match=("service",),
    same_node=True,
    value="share",
)
_BROKEN = Cause(
    event="answer_broken",
    text="the node could not use the response",
    match=("server", "id"),
    max_age_s=_MOMENT_S,
)

CAUSES_BY_REASON = {
    "answer-broken": (_BROKEN,),
    "memory-full": (_MEMORY,),
    "no-configuration": (_STORE,),
    "no-server": (_EVACUATED_FOR_SENDER, _STORE),
    "overloaded": (_SHARE, _COLD),
    "rate-limited": (_COLD, _RATE_LIMIT),
    "route-unknown-yet": (_STORE,),
    "server-down": (_DOWN,),
    "server-draining": (_DRAINING,),
    "zone-evacuated": (_EVACUATED,),
}
"""Conditions that can explain a reason, the most specific first."""

OTHER_ZONE_CAUSES = (_OVERFLOW,)
"""Conditions that can explain why a request was sent to another zone."""

EVENTS = frozenset(
    name
    for causes in (*CAUSES_BY_REASON.values(), OTHER_ZONE_CAUSES)
    for each in causes
    for name in (each.event, each.ended_by)
    if name
)
"""Events that begin or end a condition."""
