"""Log lines and gauges about the share of requests that may leave the zone."""

import math

from laburnumford_mesh import clock, event_log, services

_STEP = 0.1
"""Change of the share from which a line is written."""

_MIN_INTERVAL_S = 1.0
"""Seconds between two lines about a service."""


class OverflowReport:
    """Reports the share of each service.

    Args:
        learned: state of the services.
        log: structured log.
    """

    def __init__(self, *, learned: services.Services, log: event_log.EventLog) -> None:
        self._services = learned
        self._log = log
        self._logged_share_by_service: dict[str, float] = {}
        self._logged_s_by_service: dict[str, float] = {}

    def check(self) -> None:
        """Writes a line for each service whose share has changed by a step or has ended."""
        now = clock.now()
        for service, overflow in self._services.overflow_by_service().items():
            share = overflow.share(now)
            known = self._logged_share_by_service.get(service, 0.0)
            if abs(share - known) < _STEP and not (known and not share):
                continue
            if now - self._logged_s_by_service.get(service, -math.inf) < _MIN_INTERVAL_S:
                continue
            self._logged_share_by_service[service] = share
            self._logged_s_by_service[service] = now
            self._log.write(
                "zone_overflow",
                service=service,
                share=round(share, 2),
                previous=round(known, 2),
                zones=_rounded(overflow.share_by_zone if share else {}),
                occupancy=_rounded(overflow.occupancy_by_zone),
            )

    def gauges(self) -> dict[str, float]:
        """Returns the metrics of all services that have servers in several zones."""
        now = clock.now()
        return {
            f'zone_overflow_share{{kind="{service}"}}': overflow.share(now)
            for service, overflow in self._services.overflow_by_service().items()
            if overflow.has_other_zones()
        }


def _rounded(value_by_zone: dict[str, float]) -> dict[str, float]:
    return {zone: round(value, 2) for zone, value in value_by_zone.items()}
