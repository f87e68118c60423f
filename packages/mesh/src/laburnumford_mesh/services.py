"""Learned state by service: placement and the budget for repeats."""

import random
from collections.abc import Iterable

from laburnumford_mesh import clock, frames, server_entry, settings
from laburnumford_policy.placement import placement, server_view, shared_retry_budget

_ZONE_DISTANCE_S = 0.003
"""There and back between two availability zones of a region."""

_OWN_ZONE_DISTANCE_S = 0.0003
"""There and back inside an availability zone."""


class ServiceState:
    """What this node has learned about one service.

    Args:
        chooser: chooses among its servers.
        budget: bounds repeats.
    """

    def __init__(
        self, chooser: placement.Placement, budget: shared_retry_budget.SharedRetryBudget
    ) -> None:
        self.placement = chooser
        self.repeat_budget = budget


class Services:
    """Keeps the state of all services and finds servers by id.

    Args:
        zone: availability zone of this node.
        server_address: address of the server beside this node.
        budget: bound on repeats.
        generator: source of random numbers.
    """

    def __init__(
        self,
        *,
        zone: str,
        server_address: str,
        budget: settings.RetryBudgetSettings,
        generator: random.Random,
    ) -> None:
        self._zone = zone
        self._server_address = server_address
        self._budget = budget
        self._generator = generator
        self._state_by_service: dict[str, ServiceState] = {}
        self._view_by_server_id: dict[str, server_view.ServerView] = {}
        self.entry_by_server_id: dict[str, server_entry.ServerEntry] = {}
        self._nodes = 1

    def state(self, service: str) -> ServiceState:
        """Returns the state of a service."""
        found = self._state_by_service.get(service)
        if found is None:
            found = ServiceState(
                placement.Placement(generator=self._generator),
                shared_retry_budget.SharedRetryBudget(
                    ratio=self._budget.ratio,
                    slack=self._budget.slack,
                    window_s=self._budget.window_s,
                ),
            )
            found.repeat_budget.set_nodes(self._nodes)
            self._state_by_service[service] = found
        return found

    def apply(self, entries: Iterable[server_entry.ServerEntry], nodes: int) -> None:
        """Takes over the servers that may get requests and the number of nodes."""
        self._nodes = nodes
        by_service: dict[str, list[server_view.ServerView]] = {
            service: [] for service in self._state_by_service
        }
        self.entry_by_server_id = {}
        for entry in entries:
            self.entry_by_server_id[entry.server_id] = entry
            by_service.setdefault(entry.service, []).append(self._view(entry))
        for service, views in by_service.items():
            state = self.state(service)
            state.placement.apply(views)
            state.repeat_budget.set_nodes(nodes)
        self._view_by_server_id = {
            view.server_id: view
            for state in self._state_by_service.values()
            for view in state.placement.views_by_id.values()
        }

    def observe_load(self, report: frames.LoadReport) -> None:
        """Takes over a load report of any server."""
        view = self._view_by_server_id.get(report.server_id)
        if view is not None:
            view.observe_load(
                now=clock.now(),
                sequence=report.sequence,
                running=report.running,
                waiting=report.waiting,
                concurrency_limit=report.concurrency_limit,
                slowness=report.slowness,
                slowness_age_s=report.slowness_age_s,
                slow_for_s=report.slow_for_s,
            )

    def block(self, ip: str, seconds: float) -> None:
        """Keeps requests from the servers on a VM for some time."""
        until_s = clock.now() + seconds
        for view in self._views_at(ip):
            view.blocked_until_s = max(view.blocked_until_s, until_s)

    def unblock(self, ip: str) -> None:
        """Lets requests go to the servers on a VM whose node has started again."""
        for view in self._views_at(ip):
            view.blocked_until_s = 0.0
            view.reset_sequence()

    def _views_at(self, ip: str) -> list[server_view.ServerView]:
        return [
            view
            for server_id, view in self._view_by_server_id.items()
            if self.entry_by_server_id[server_id].ip == ip
        ]

    def _view(self, entry: server_entry.ServerEntry) -> server_view.ServerView:
        known = self._view_by_server_id.get(entry.server_id)
        if known is not None:
            return known
        distance_s = _ZONE_DISTANCE_S
        if entry.address == self._server_address:
            distance_s = 0.0
        elif entry.zone == self._zone:
            distance_s = _OWN_ZONE_DISTANCE_S
        view = server_view.ServerView(
            server_id=entry.server_id,
            round_trip_s=distance_s,
            other_zone=entry.zone != self._zone,
            slots=entry.slots,
        )
        view.cold_until_s = clock.now() + entry.cold_s
        return view
