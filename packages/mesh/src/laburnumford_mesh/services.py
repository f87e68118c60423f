"""State that a node learns for each service: server placement and retry budget."""

import collections
import random
from collections.abc import Iterable

from laburnumford_mesh import clock, frames, server_entry, settings
from laburnumford_policy.placement import (
    link_budget,
    placement,
    server_view,
    shared_retry_budget,
    zone_overflow,
)

_CROSS_ZONE_ROUND_TRIP_S = 0.003
"""Network round trip between two availability zones of a region."""

_SAME_ZONE_ROUND_TRIP_S = 0.0003
"""Network round trip within an availability zone."""

_ROUND_TRIP_WEIGHT = 0.2
"""Weight of the round trip to one node in the mean of its zone."""

_MAX_LEAVING_SERVERS = 4096
"""Servers that have said that they leave, which are remembered."""


class ServiceState:
    """Holds the server placement and the retry budget of one service.

    Args:
        service_placement: chooses among the servers of the service.
        overflow: decides which requests may leave the zone; part of the placement.
        retry_budget: limits the retries to the service.
    """

    def __init__(
        self,
        service_placement: placement.Placement,
        overflow: zone_overflow.ZoneOverflow,
        retry_budget: shared_retry_budget.SharedRetryBudget,
    ) -> None:
        self.placement = service_placement
        self.overflow = overflow
        self.retry_budget = retry_budget


class Services:
    """Keeps the state of all services and the entries of servers by id.

    Args:
        zone: availability zone of this node.
        server_address: ``ip:port`` of the backend server on the same VM.
        retry_budget: settings of the retry budget of each service.
        generator: source of random numbers.
        link_mbps: bandwidth of the network link of this VM in Mbit/s, 0 if it is unknown.
    """

    def __init__(
        self,
        *,
        zone: str,
        server_address: str,
        retry_budget: settings.RetryBudgetSettings,
        generator: random.Random,
        link_mbps: float = 0.0,
    ) -> None:
        self._zone = zone
        self._link = link_budget.LinkBudget(link_mbps=link_mbps)
        self._round_trip_s_by_ip: dict[str, float] = {}
        self._round_trip_s_by_zone: dict[str, float] = {}
        self._server_address = server_address
        self._retry_budget_settings = retry_budget
        self._generator = generator
        self._state_by_service: dict[str, ServiceState] = {}
        self._view_by_server_id: dict[str, server_view.ServerView] = {}
        self.entry_by_server_id: dict[str, server_entry.ServerEntry] = {}
        self._node_count = 1
        self._entries: list[server_entry.ServerEntry] = []
        self._evacuated_services: frozenset[str] = frozenset()
        self._leaving_started_ms_by_id: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def state(self, service: str) -> ServiceState:
        """Returns the state of a service, created at the first use."""
        found = self._state_by_service.get(service)
        if found is None:
            overflow = self._make_overflow()
            found = ServiceState(
                placement.Placement(generator=self._generator, overflow=overflow),
                overflow,
                shared_retry_budget.SharedRetryBudget(
                    ratio=self._retry_budget_settings.ratio,
                    slack=self._retry_budget_settings.slack,
                    window_s=self._retry_budget_settings.window_s,
                ),
            )
            found.retry_budget.set_node_count(self._node_count)
            self._state_by_service[service] = found
        return found

    def _make_overflow(self) -> zone_overflow.ZoneOverflow:
        made = zone_overflow.ZoneOverflow(
            own_zone=self._zone, generator=self._generator, link=self._link
        )
        for zone, seconds in self._round_trip_s_by_zone.items():
            made.observe_round_trip(zone, seconds)
        return made

    def overflow_by_service(self) -> dict[str, zone_overflow.ZoneOverflow]:
        """Returns for each service what decides which requests may leave the zone."""
        return {service: state.overflow for service, state in self._state_by_service.items()}

    def observe_round_trip(self, ip: str, seconds: float) -> None:
        """Records the measured network round trip to a node.

        The first stream to a node may be opened before the entries of its servers are known.
        """
        self._round_trip_s_by_ip[ip] = seconds
        for zone in {view.zone for view in self._views_at(ip) if view.other_zone}:
            self._observe_zone_round_trip(zone, seconds)

    def _observe_zone_round_trip(self, zone: str, seconds: float) -> None:
        known = self._round_trip_s_by_zone.get(zone, seconds)
        mean_s = known + _ROUND_TRIP_WEIGHT * (seconds - known)
        self._round_trip_s_by_zone[zone] = mean_s
        for state in self._state_by_service.values():
            state.overflow.observe_round_trip(zone, mean_s)

    def apply(self, entries: Iterable[server_entry.ServerEntry], node_count: int) -> None:
        """Replaces the servers that may receive requests, and the number of nodes."""
        self._entries = list(entries)
        self._node_count = node_count
        self._apply_entries()

    def set_evacuated_services(self, evacuated_services: frozenset[str]) -> None:
        """Replaces the services that have servers in evacuated zones."""
        self._evacuated_services = evacuated_services

    def is_evacuated(self, service: str) -> bool:
        """Returns whether all servers of a service are in evacuated zones."""
        return (
            service in self._evacuated_services and not self.state(service).placement.views_by_id
        )

    def servers_in_zone_of(self, server_id: str) -> list[str]:
        """Returns the ids of the usable servers in the zone of a server, of any service."""
        named = self.entry_by_server_id.get(server_id)
        if named is None:
            return []
        return [
            entry.server_id
            for entry in self.entry_by_server_id.values()
            if entry.zone == named.zone
        ]

    def exclude_leaving(self, view: server_view.ServerView) -> None:
        """Excludes a server that has said that it leaves from new requests.

        Entries do not undo this, because they may be older than the answer; one with a later start
        of a server with the same id does.
        """
        known_ms = self._leaving_started_ms_by_id.get(view.server_id)
        if known_ms is not None and view.started_ms <= known_ms:
            return
        self._leaving_started_ms_by_id[view.server_id] = view.started_ms
        if len(self._leaving_started_ms_by_id) > _MAX_LEAVING_SERVERS:
            self._leaving_started_ms_by_id.popitem(last=False)
        self._apply_entries()

    def _is_leaving(self, entry: server_entry.ServerEntry) -> bool:
        started_ms = self._leaving_started_ms_by_id.get(entry.server_id)
        return started_ms is not None and entry.started_ms <= started_ms

    def _apply_entries(self) -> None:
        by_service: dict[str, list[server_view.ServerView]] = {
            service: [] for service in self._state_by_service
        }
        self.entry_by_server_id = {}
        for entry in self._entries:
            if self._is_leaving(entry):
                continue
            self.entry_by_server_id[entry.server_id] = entry
            by_service.setdefault(entry.service, []).append(self._view(entry))
        for service, views in by_service.items():
            state = self.state(service)
            state.placement.apply(views)
            state.retry_budget.set_node_count(self._node_count)
        self._view_by_server_id = {
            view.server_id: view
            for state in self._state_by_service.values()
            for view in state.placement.views_by_id.values()
        }

    def observe_load(self, report: frames.LoadReport) -> None:
        """Applies a load report; one of an unknown server is ignored."""
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
                baseline=report.baseline,
                mean_slowdown_s=report.mean_slowdown_s,
                limit_known=report.limit_known,
                rate_limit_per_s=report.rate_limit_per_s,
                tokens=report.tokens,
                capacity=report.capacity,
            )

    def block(self, ip: str, seconds: float) -> None:
        """Excludes the servers on a VM from new requests for a number of seconds."""
        until_s = clock.now() + seconds
        for view in self._views_at(ip):
            view.blocked_until_s = max(view.blocked_until_s, until_s)

    def unblock(self, ip: str) -> None:
        """Admits requests to the servers on a VM again after a restart of its node."""
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
            known.started_ms = entry.started_ms
            return known
        round_trip_s = _CROSS_ZONE_ROUND_TRIP_S
        if entry.address == self._server_address:
            round_trip_s = 0.0
        elif entry.zone == self._zone:
            round_trip_s = _SAME_ZONE_ROUND_TRIP_S
        view = server_view.ServerView(
            server_id=entry.server_id,
            round_trip_s=round_trip_s,
            other_zone=entry.zone != self._zone,
            slots=entry.slots,
            zone=entry.zone,
        )
        seconds = self._round_trip_s_by_ip.get(entry.ip)
        if view.other_zone and seconds is not None:
            self._observe_zone_round_trip(entry.zone, seconds)
        view.started_ms = entry.started_ms
        view.cold_until_s = clock.now() + entry.cold_remaining_s
        return view
