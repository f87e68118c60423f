"""Figures of decisions about requests, which log lines carry."""

from collections.abc import Collection
from typing import Any

from laburnumford_mesh import call, server_entry, services
from laburnumford_policy.placement import server_view


def of_choice(
    now: float,
    ongoing: call.Call,
    state: services.ServiceState,
    view: server_view.ServerView,
    excluded: Collection[str],
    entry: server_entry.ServerEntry | None,
    *,
    hedge: bool,
) -> dict[str, Any]:
    """Returns what was known about a server when a request was sent to it.

    The cost does not depend on the number of servers.

    Args:
        now: current time, before the request is counted in the view.
        ongoing: the request.
        state: state of its service.
        view: the chosen server.
        excluded: ids of servers that this request has already tried.
        entry: entry of the server, None if it was removed.
        hedge: whether the request also runs on another server.
    """
    service_time_s = state.placement.mean_service_time_s(
        ongoing.route_name, ongoing.default_service_time_s
    )
    expected_s, slowness = view.estimate(now, service_time_s)
    return {
        "zone": None if entry is None else entry.zone,
        "other_zone": view.other_zone,
        "servers": [len(state.placement.views_by_id), len(excluded)],
        "expected_ms": _ms(expected_s),
        "service_ms": _ms(service_time_s),
        "view": list(view.known_load()),
        "view_slowness": round(slowness, 2),
        "hedge": hedge,
    }


def of_end(now: float, ongoing: call.Call, state: services.ServiceState) -> dict[str, Any]:
    """Returns what was known when a request ended without an answer of a server.

    The cost grows with the number of servers of the service, like that of a choice.

    Args:
        now: current time.
        ongoing: the request.
        state: state of its service.
    """
    views = state.placement.views_by_id.values()
    service_time_s = state.placement.mean_service_time_s(
        ongoing.route_name, ongoing.default_service_time_s
    )
    lowest_baseline = min((view.baseline(now) for view in views), default=1.0)
    return {
        "servers": [len(views), sum(now < view.blocked_until_s for view in views)],
        "service_ms": _ms(service_time_s * lowest_baseline),
        "remaining_ms": _ms(ongoing.deadline_s - now),
        "max_attempts": ongoing.max_attempts,
    }


def _ms(duration_s: float) -> float:
    return round(duration_s * 1000, 1)
