"""Load and capacity of the servers of one service in one availability zone."""

import dataclasses
from collections.abc import Iterable

from laburnumford_policy.placement import server_view

_REPORT_VALIDITY_S = 1.0
"""Age of a report up to which it says how busy a server is. Requests take some tens of
milliseconds, so an older report describes requests that have ended."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneLoad:
    """Load of the servers in one zone that may get requests.

    Attributes:
        capacity: work that they complete, in seconds of service time at normal speed per second.
        occupancy: running and waiting requests divided by slots, above 1 if requests wait; servers
            without a recent report count as the others. None without a recent report.
        known_share: share of the slots that belongs to servers with a recent report.
    """

    capacity: float
    occupancy: float | None
    known_share: float


def summarize(
    views: Iterable[server_view.ServerView], now: float, service_time_s: float
) -> ZoneLoad:
    """Returns the load of the servers of one zone.

    Args:
        views: servers of the zone.
        now: current time.
        service_time_s: mean service time at normal speed in seconds.
    """
    capacity = slots = known_slots = 0.0
    known_occupied = 0
    for view in views:
        if now < view.blocked_until_s:
            continue
        capacity += view.capacity(now, service_time_s)
        view_slots = view.usable_slots(now, service_time_s)
        slots += view_slots
        if now - view.reported_s <= _REPORT_VALIDITY_S:
            known_slots += view_slots
            known_occupied += view.occupied
    return ZoneLoad(
        capacity=capacity,
        occupancy=known_occupied / known_slots if known_slots else None,
        known_share=known_slots / slots if slots else 0.0,
    )
