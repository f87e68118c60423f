"""The configuration in force and the backend servers that may get requests."""

from collections.abc import Callable, Iterable

from laburnumford_mesh import clock, configuration, event_log, record, server_entry

_LAPSE_HOLD_S = 2.0
"""Entries that expired while the store was away come back within this time of its return."""

Decoded = configuration.Configuration | server_entry.ServerEntry | None
Decoder = Callable[[record.Record], Decoded]
"""Returns what a record says, or None for one that is of no use, which it has logged."""


class Directory:
    """Turns published records into the objects that decisions use.

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
        self._held_until_by_key: dict[str, float] = {}
        self.configuration: configuration.Configuration | None = None

    def servers(self) -> list[server_entry.ServerEntry]:
        """Returns all known servers, leaving ones included."""
        return list(self._entry_by_key.values())

    def usable(self) -> list[server_entry.ServerEntry]:
        """Returns the servers that may get new requests.

        Of several entries with one address only the newest can be right.
        """
        newest_by_address: dict[str, server_entry.ServerEntry] = {}
        for entry in self._entry_by_key.values():
            known = newest_by_address.get(entry.address)
            if known is None or entry.age_order > known.age_order:
                newest_by_address[entry.address] = entry
        return [entry for entry in newest_by_address.values() if not entry.draining]

    def apply(self, records: Iterable[record.Record], *, after_outage: bool) -> None:
        """Takes over changed records.

        Args:
            records: the changes.
            after_outage: whether the store was away until now, so that entries may be
                missing although their servers live.
        """
        changed = False
        for each in records:
            if each.value is None:
                changed |= self._remove(each.key, after_outage)
                continue
            decoded = self._decode(each)
            if isinstance(decoded, server_entry.ServerEntry):
                self._entry_by_key[each.key] = decoded
                self._held_until_by_key.pop(each.key, None)
                changed = True
            elif isinstance(decoded, configuration.Configuration):
                changed |= self._put_in_force(decoded)
            elif each.key in self._entry_by_key:
                # The entry was overwritten with something that names no server.
                del self._entry_by_key[each.key]
                changed = True
        if changed:
            self._on_change()

    def sweep(self) -> None:
        """Drops the servers whose entries did not come back in time."""
        now = clock.now()
        late = [key for key, until_s in self._held_until_by_key.items() if now >= until_s]
        for key in late:
            del self._held_until_by_key[key]
            self._entry_by_key.pop(key, None)
        if late:
            self._on_change()

    def _remove(self, key: str, after_outage: bool) -> bool:
        entry = self._entry_by_key.get(key)
        if entry is None:
            return False
        if after_outage and not entry.draining:
            self._held_until_by_key.setdefault(key, clock.now() + _LAPSE_HOLD_S)
            return False
        del self._entry_by_key[key]
        self._held_until_by_key.pop(key, None)
        self._log.write("server_removed", server=entry.server_id, service=entry.service)
        return True

    def _put_in_force(self, found: configuration.Configuration) -> bool:
        known = self.configuration
        if known is not None and found.version <= known.version:
            return False
        self.configuration = found
        self._log.write(
            "version_in_force",
            version=found.version,
            previous=None if known is None else known.version,
            routes=len(found.routes),
        )
        return True
