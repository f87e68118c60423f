"""Active configuration and registered backend servers."""

import collections
from collections.abc import Callable, Iterable

from laburnumford_mesh import (
    clock,
    configuration,
    evacuations,
    event_log,
    record,
    server_entry,
    zone_evacuation,
)

_REGISTRATION_GRACE_S = 2.0
"""Entries that expired during an outage of the store are registered again within this time after
its end."""

_MAX_REMOVED_ENTRIES = 4096
"""Removed entries that are remembered, so that a delayed renewal does not register one again."""

Decoded = (
    configuration.Configuration | server_entry.ServerEntry | zone_evacuation.ZoneEvacuation | None
)
Decoder = Callable[[record.Record], Decoded]
"""Returns the decoded record, or None if it is invalid or irrelevant; invalid ones are logged."""


class Directory:
    """Keeps the active configuration and the server entries up to date with published records.

    Args:
        decode: decoder of published values.
        log: structured log.
        on_change: called after each change.
    """

    def __init__(
        self, *, decode: Decoder, log: event_log.EventLog, on_change: Callable[[], None]
    ) -> None:
        self._decode = decode
        self._log = log
        self._on_change = on_change
        self._entry_by_key: dict[str, server_entry.ServerEntry] = {}
        self._retained_until_by_key: dict[str, float] = {}
        self._removed_entry_by_key: collections.OrderedDict[str, server_entry.ServerEntry] = (
            collections.OrderedDict()
        )
        self._evacuations = evacuations.Evacuations(log=log)
        self.configuration: configuration.Configuration | None = None

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Names of the zones whose servers must get nothing."""
        return self._evacuations.zones

    def servers(self) -> list[server_entry.ServerEntry]:
        """Returns all registered servers, including those that drain, of any service."""
        return list(self._entry_by_key.values())

    def configured_servers(self) -> list[server_entry.ServerEntry]:
        """Returns the registered servers of services that the configuration knows.

        An entry of another service names no server, even if it has the address of one.
        """
        current = self.configuration
        return [
            entry
            for entry in self._entry_by_key.values()
            if current is None or entry.service in current.services
        ]

    def usable_servers(self) -> list[server_entry.ServerEntry]:
        """Returns the servers that may receive new requests.

        Of several entries with the same address only the newest is used: the others belong to
        servers that have ended.
        """
        newest_by_address: dict[str, server_entry.ServerEntry] = {}
        for entry in self.configured_servers():
            known = newest_by_address.get(entry.address)
            if known is None or entry.recency_key > known.recency_key:
                newest_by_address[entry.address] = entry
        evacuated_zones = self.evacuated_zones
        return [
            entry
            for entry in newest_by_address.values()
            if not entry.draining and entry.zone not in evacuated_zones
        ]

    def evacuated_services(self) -> frozenset[str]:
        """Returns the services that have servers in evacuated zones."""
        evacuated_zones = self.evacuated_zones
        return frozenset(
            entry.service
            for entry in self._entry_by_key.values()
            if entry.zone in evacuated_zones and not entry.draining
        )

    def apply(self, records: Iterable[record.Record], *, after_outage: bool) -> None:
        """Applies changed records.

        Args:
            records: changed records.
            after_outage: whether the store was unreachable until now, so that entries may have
                expired although their servers still run.
        """
        changed = False
        for each in records:
            if each.value is None:
                changed |= self._remove(each.key, after_outage)
                continue
            decoded = self._decode_or_log(each)
            if isinstance(decoded, server_entry.ServerEntry):
                changed |= self._register(each.key, decoded)
            elif isinstance(decoded, configuration.Configuration):
                changed |= self._activate(decoded)
            elif isinstance(decoded, zone_evacuation.ZoneEvacuation):
                changed |= self._evacuations.add(each.key, decoded.zone)
            elif each.key in self._entry_by_key:
                # The entry was overwritten with a value that is not a server entry.
                del self._entry_by_key[each.key]
                changed = True
        if changed:
            self._on_change()

    def sweep(self) -> None:
        """Removes servers and evacuations that were not written again in time after an outage."""
        now = clock.now()
        expired = [key for key, until_s in self._retained_until_by_key.items() if now >= until_s]
        for key in expired:
            del self._retained_until_by_key[key]
            entry = self._entry_by_key.pop(key, None)
            if entry is not None:
                self._remember_removed(key, entry)
        if self._evacuations.sweep() or expired:
            self._on_change()

    def _decode_or_log(self, each: record.Record) -> Decoded:
        """Decodes a record; one that the decoder fails on must not cost the records behind it."""
        try:
            return self._decode(each)
        except Exception as error:
            self._log.write_failure("record_failed", error, key=each.key, revision=each.revision)
            return None

    def _register(self, key: str, entry: server_entry.ServerEntry) -> bool:
        if self._is_outdated(key, entry):
            self._log.write("entry_outdated", server=entry.server_id, sequence=entry.sequence)
            return False
        self._entry_by_key[key] = entry
        self._removed_entry_by_key.pop(key, None)
        self._retained_until_by_key.pop(key, None)
        return True

    def _is_outdated(self, key: str, entry: server_entry.ServerEntry) -> bool:
        """Returns whether the server wrote an entry before the latest known one.

        A delayed renewal may reach the store after a later one, or after the removal.
        """
        found = entry.registration_key
        known = self._entry_by_key.get(key)
        if found is None:
            return False
        if known is not None:
            return known.registration_key is not None and found < known.registration_key
        removed = self._removed_entry_by_key.get(key)
        if removed is None or removed.registration_key is None:
            return False
        return found <= removed.registration_key

    def _remember_removed(self, key: str, entry: server_entry.ServerEntry) -> None:
        self._removed_entry_by_key[key] = entry
        if len(self._removed_entry_by_key) > _MAX_REMOVED_ENTRIES:
            self._removed_entry_by_key.popitem(last=False)

    def _remove(self, key: str, after_outage: bool) -> bool:
        entry = self._entry_by_key.get(key)
        if entry is None:
            return self._evacuations.remove(key, after_outage=after_outage)
        if after_outage and not entry.draining:
            self._retained_until_by_key.setdefault(key, clock.now() + _REGISTRATION_GRACE_S)
            return False
        del self._entry_by_key[key]
        self._remember_removed(key, entry)
        self._retained_until_by_key.pop(key, None)
        self._log.write("server_removed", server=entry.server_id, service=entry.service)
        return True

    def _activate(self, decoded: configuration.Configuration) -> bool:
        known = self.configuration
        if known is not None and decoded.version <= known.version:
            return False
        self.configuration = decoded
        self._log.write(
            "version_in_force",
            version=decoded.version,
            previous=None if known is None else known.version,
            routes=len(decoded.routes),
        )
        return True
