"""Availability zones whose servers must get nothing."""

from laburnumford_mesh import clock, event_log

RETENTION_S = 6.0
"""Seconds for which an evacuation that is missing after an outage of the store stays in force. The
store may have lost the key, and the operator writes it again; the platform allows 5 s for that."""


class Evacuations:
    """Keeps the evacuated zones by the key of the record that names them.

    Args:
        log: structured log.
    """

    def __init__(self, *, log: event_log.EventLog) -> None:
        self._log = log
        self._zone_by_key: dict[str, str] = {}
        self._retained_until_s_by_key: dict[str, float] = {}

    @property
    def zones(self) -> frozenset[str]:
        """Names of the evacuated zones."""
        return frozenset(self._zone_by_key.values())

    def add(self, key: str, zone: str) -> bool:
        """Starts the evacuation of a zone; returns whether it is new."""
        self._retained_until_s_by_key.pop(key, None)
        if self._zone_by_key.get(key) == zone:
            return False
        self._zone_by_key[key] = zone
        self._log.write("zone_evacuated", zone=zone)
        return True

    def remove(self, key: str, *, after_outage: bool) -> bool:
        """Ends the evacuation that a key names.

        Args:
            key: key that is missing from the store.
            after_outage: whether the store was unreachable until now, so that it may have lost
                the key.

        Returns:
            Whether the evacuated zones have changed.
        """
        if key not in self._zone_by_key:
            return False
        if after_outage:
            self._retained_until_s_by_key.setdefault(key, clock.now() + RETENTION_S)
            return False
        self._end(key)
        return True

    def sweep(self) -> bool:
        """Ends evacuations whose keys were not written again; returns whether there are any."""
        if not self._retained_until_s_by_key:
            return False
        now = clock.now()
        expired = [key for key, until_s in self._retained_until_s_by_key.items() if now >= until_s]
        for key in expired:
            self._end(key)
        return bool(expired)

    def _end(self, key: str) -> None:
        self._retained_until_s_by_key.pop(key, None)
        self._log.write("zone_restored", zone=self._zone_by_key.pop(key))
