"""Decides which share of the requests for a service may leave the availability zone at no price.

Outside of that share a request leaves the zone only if it is answered earlier by the price of its
bytes. This is right while the zone has room. When it has not, every request first waits for as
long as the price allows.

Load pattern: the demand of a zone swings by half within seconds and exceeds its servers at the
peak, while other zones have room. Every node of the zone decides on its own. If all of them follow
the newest report of single servers, they send too much at once and then nothing; a share that
changes slowly with the load of whole zones does not.
"""

import math
import random
from collections.abc import Iterable

from laburnumford_policy.placement import link_budget, running_means, server_view, zone_load

_UPDATE_INTERVAL_S = 0.1
"""Shorter than the 150 ms between changes of a server's speed, and rare against requests."""

_SMOOTHING_S = 0.3
"""Time constant of the occupancies: spans two changes of a server's speed, so that a slowdown of one
server does not move the share."""

_START_OCCUPANCY = 0.95
"""Occupancy of the own zone at which traffic starts to leave it."""

_HYSTERESIS = 0.2
"""Distance below the start at which all traffic stays again. The share grows from there, so a zone
whose demand exceeds its capacity by a fifth settles at the start occupancy."""

_PRICE_PER_KB = 0.015
_MAX_PRICE = 0.3
"""Traffic between zones is billed: for each kilobyte of a request and its response the zone may be
occupied more by this much before traffic leaves it, up to the maximum."""

_DIFFERENCE_SHARE = 0.5
"""Share of the difference in occupancy that is moved: it lowers one side and raises the other."""

_MIN_DIFFERENCE = 0.2
_MIN_DIFFERENCE_IN_USE = 0.05
"""Difference in occupancy from which another zone gets traffic, and down to which it keeps it. The
gap between them keeps the share from following small changes."""

_FULL_ZONE_DIFFERENCE = 0.3
"""Added to both for a zone at or above the start occupancy. Without it, two zones that are both
nearly full and take turns at the peak send each other requests."""

_ASSUMED_OCCUPANCY = 0.7
_UNKNOWN_ZONE_SHARE = 0.05
"""A zone without recent reports is assumed to be this occupied and gets at most this share. The
answers carry reports, so its load is known a round trip later."""

_MAX_CHANGE_PER_S = 1.0
"""Change of the share per second: the share is rebuilt within a second after a restart, and the
first answers from another zone arrive before much is sent to it."""

_STATE_LIFETIME_S = 1.0
"""Seconds without a request after which the share starts again at 0."""

_REQUEST_WEIGHT = 0.05
"""Weight of one request in the means of service time and size: about the last twenty count."""

_ASSUMED_ROUND_TRIP_S = 0.003
"""Round trip to another zone until it is measured."""


class ZoneOverflow:
    """Share of the requests for one service that may go to each other zone.

    Args:
        own_zone: zone of this node.
        generator: source of random numbers; used only while traffic leaves the zone.
        link: bound on the bytes exchanged with other zones.

    Attributes:
        share_by_zone: share of the requests that may go to each other zone, without zeros.
        occupancy_by_zone: smoothed occupancy of the own zone and, while traffic leaves it, of each
            other zone that is known.
    """

    def __init__(
        self, *, own_zone: str, generator: random.Random, link: link_budget.LinkBudget
    ) -> None:
        self._own_zone = own_zone
        self._generator = generator
        self._link = link
        self._views_by_zone: dict[str, list[server_view.ServerView]] = {}
        self._round_trip_s_by_zone: dict[str, float] = {}
        self._updated_s = -math.inf
        self._active = False
        self._means = running_means.RunningMeans(weight=_REQUEST_WEIGHT)
        self.share_by_zone: dict[str, float] = {}
        self.occupancy_by_zone: dict[str, float] = {}

    def apply(self, views: Iterable[server_view.ServerView]) -> None:
        """Replaces the set of servers; a zone without servers gets nothing more."""
        self._views_by_zone = {}
        for view in views:
            self._views_by_zone.setdefault(view.zone, []).append(view)
        for by_zone in (self.share_by_zone, self.occupancy_by_zone):
            for zone in [zone for zone in by_zone if zone not in self._views_by_zone]:
                del by_zone[zone]
        if self._own_zone not in self._views_by_zone:
            self._reset()

    def observe_round_trip(self, zone: str, seconds: float) -> None:
        """Records the measured network round trip to a zone."""
        self._round_trip_s_by_zone[zone] = seconds

    def round_trip_s(self, zone: str) -> float:
        """Returns the network round trip to a zone, measured or assumed, in seconds."""
        return self._round_trip_s_by_zone.get(zone, _ASSUMED_ROUND_TRIP_S)

    def has_other_zones(self) -> bool:
        """Returns whether there are servers both in the own zone and in another one."""
        return len(self._views_by_zone) > 1 and self._own_zone in self._views_by_zone

    def share(self, now: float) -> float:
        """Returns the share of the requests that may leave the zone at no price."""
        is_current = now - self._updated_s <= _STATE_LIFETIME_S
        return sum(self.share_by_zone.values()) if is_current else 0.0

    def candidates(
        self, now: float, service_time_s: float, transfer_bytes: float
    ) -> list[server_view.ServerView] | None:
        """Returns the servers to compare at no price, or None to compare all with the price.

        Without room on the link these are the servers of the own zone, otherwise those of the own
        and one other zone.

        Args:
            now: current time.
            service_time_s: expected service time of the request at normal speed in seconds.
            transfer_bytes: expected size of the request and its response.
        """
        if not self.has_other_zones():
            return None
        self._means.observe("service_time_s", service_time_s)
        self._means.observe("bytes", transfer_bytes)
        if now - self._updated_s >= _UPDATE_INTERVAL_S:
            self._update(now)
        if not self.share_by_zone:
            return None
        if not self._link.has_room(now, transfer_bytes):
            return self._views_by_zone[self._own_zone]
        zone = self._draw_zone()
        if zone == self._own_zone:
            return None
        return self._views_by_zone[self._own_zone] + self._views_by_zone[zone]

    def observe_out_of_zone(self, now: float, transfer_bytes: float) -> None:
        """Records a request that is sent to another zone, for whatever reason."""
        self._link.take(now, transfer_bytes)

    def _draw_zone(self) -> str:
        drawn = self._generator.random()
        for zone, share in self.share_by_zone.items():
            drawn -= share
            if drawn < 0:
                return zone
        return self._own_zone

    def _reset(self) -> None:
        self._active = False
        self.share_by_zone = {}
        self.occupancy_by_zone = {}

    def _update(self, now: float) -> None:
        service_time_s = self._means.mean("service_time_s", 0.0)
        elapsed_s = now - self._updated_s
        if elapsed_s > _STATE_LIFETIME_S:
            self._reset()
            elapsed_s = _UPDATE_INTERVAL_S
        self._updated_s = now
        load_by_zone = {self._own_zone: self._summarize(self._own_zone, now, service_time_s)}
        self._smooth(load_by_zone, elapsed_s)
        wanted = self._wanted_share(self._means.mean("bytes", 0.0))
        if wanted > 0:
            # The load of the other zones matters only now; summing it up takes most of the time.
            others = {
                zone: self._summarize(zone, now, service_time_s)
                for zone in self._views_by_zone
                if zone != self._own_zone
            }
            self._smooth(others, elapsed_s)
            load_by_zone |= others
        else:
            own_occupancy = self.occupancy_by_zone.get(self._own_zone)
            self.occupancy_by_zone = {}
            if own_occupancy is not None:
                self.occupancy_by_zone[self._own_zone] = own_occupancy
        target_by_zone = self._allocate(wanted, load_by_zone, service_time_s)
        self._approach(target_by_zone, _MAX_CHANGE_PER_S * elapsed_s)

    def _summarize(self, zone: str, now: float, service_time_s: float) -> zone_load.ZoneLoad:
        return zone_load.summarize(self._views_by_zone[zone], now, service_time_s)

    def _smooth(self, load_by_zone: dict[str, zone_load.ZoneLoad], elapsed_s: float) -> None:
        weight = 1.0 - math.exp(-elapsed_s / _SMOOTHING_S)
        for zone, load in load_by_zone.items():
            if load.occupancy is None:
                self.occupancy_by_zone.pop(zone, None)
                continue
            occupancy = load.occupancy
            if zone == self._own_zone:
                # Servers without a recent report count as idle. A single slow server must not make
                # a zone look short in which a node sends few requests.
                occupancy *= load.known_share
            known = self.occupancy_by_zone.get(zone, occupancy)
            self.occupancy_by_zone[zone] = known + weight * (occupancy - known)

    def _wanted_share(self, transfer_bytes: float) -> float:
        """Returns the share that should leave the zone if the others had room for all of it."""
        price = min(transfer_bytes / 1000.0 * _PRICE_PER_KB, _MAX_PRICE)
        start = _START_OCCUPANCY + price
        own = self.occupancy_by_zone.get(self._own_zone, 0.0)
        self._active = own > (start - _HYSTERESIS if self._active else start)
        return min(own - (start - _HYSTERESIS), 1.0) if self._active else 0.0

    def _allocate(
        self,
        wanted: float,
        load_by_zone: dict[str, zone_load.ZoneLoad],
        service_time_s: float,
    ) -> dict[str, float]:
        """Distributes a share over the other zones, the cheapest for callers first."""
        own_capacity = load_by_zone[self._own_zone].capacity
        if wanted <= 0 or own_capacity <= 0:
            return {}
        zones = [zone for zone in load_by_zone if self._pays_off(zone, service_time_s)]
        zones.sort(key=lambda zone: self._cost_s(zone, service_time_s))
        target_by_zone: dict[str, float] = {}
        for zone in zones:
            difference = self._occupancy(self._own_zone) - self._occupancy(zone)
            room = max(difference, 0.0) * _DIFFERENCE_SHARE
            most = room * load_by_zone[zone].capacity / own_capacity
            if zone not in self.occupancy_by_zone:
                most = min(most, _UNKNOWN_ZONE_SHARE)
            target_by_zone[zone] = min(wanted, most)
            wanted -= target_by_zone[zone]
        return target_by_zone

    def _pays_off(self, zone: str, service_time_s: float) -> bool:
        """Returns whether callers wait less in another zone by more than its round trip."""
        if zone == self._own_zone:
            return False
        difference = self._occupancy(self._own_zone) - self._occupancy(zone)
        required = _MIN_DIFFERENCE_IN_USE if zone in self.share_by_zone else _MIN_DIFFERENCE
        if self._occupancy(zone) >= _START_OCCUPANCY:
            required += _FULL_ZONE_DIFFERENCE
        if difference < required:
            return False
        return difference * service_time_s > self.round_trip_s(zone)

    def _cost_s(self, zone: str, service_time_s: float) -> float:
        return self.round_trip_s(zone) + self._occupancy(zone) * service_time_s

    def _occupancy(self, zone: str) -> float:
        return self.occupancy_by_zone.get(zone, _ASSUMED_OCCUPANCY)

    def _approach(self, target_by_zone: dict[str, float], most: float) -> None:
        share_by_zone: dict[str, float] = {}
        for zone in self._views_by_zone:
            known = self.share_by_zone.get(zone, 0.0)
            change = target_by_zone.get(zone, 0.0) - known
            share = known + min(max(change, -most), most)
            if share > 0:
                share_by_zone[zone] = share
        self.share_by_zone = share_by_zone
