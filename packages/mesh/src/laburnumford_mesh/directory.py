"""Active configuration and registered backend servers."""

from collections.abc import Callable, Iterable

from laburnumford_mesh import clock, configuration, event_log, record, server_entry

_REGISTRATION_GRACE_S = 2.0
"""Entries that expired during an outage of the store are registered again within this time after
its end."""

Decoded = configuration.Configuration | server_entry.ServerEntry | None
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
        self.configuration: configuration.Configuration | None = None

    def servers(self) -> list[server_entry.ServerEntry]:
        """Returns all registered servers, including those that drain."""
        return list(self._entry_by_key.values())

    def usable_servers(self) -> list[server_entry.ServerEntry]:
        """Returns the servers that may receive new requests.

        Of several entries with the same address only the newest is used: the others belong to
        servers that have ended.
        """
        newest_by_address: dict[str, server_entry.ServerEntry] = {}
        for entry in self._entry_by_key.values():
            known = newest_by_address.get(entry.address)
            if known is None or entry.recency_key > known.recency_key:
                newest_by_address[entry.address] = entry
        return [entry for entry in newest_by_address.values() if not entry.draining]

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
            decoded = self._decode(each)
            if isinstance(decoded, server_entry.ServerEntry):
                self._entry_by_key[each.key] = decoded
                self._retained_until_by_key.pop(each.key, None)
                changed = True
            elif isinstance(decoded, configuration.Configuration):
                changed |= self._activate(decoded)
            elif each.key in self._entry_by_key:
                # The entry was overwritten with a value that is not a server entry.
                del self._entry_by_key[each.key]
                changed = True
        if changed:
            self._on_change()

    def sweep(self) -> None:
        """Removes servers that did not register again in time after an outage of the store."""
        now = clock.now()
        expired = [key for key, until_s in self._retained_until_by_key.items() if now >= until_s]
        for key in expired:
            del self._retained_until_by_key[key]
            self._entry_by_key.pop(key, None)
        if expired:
            self._on_change()

    def _remove(self, key: str, after_outage: bool) -> bool:
        entry = self._entry_by_key.get(key)
        if entry is None:
            return False
        if after_outage and not entry.draining:
            self._retained_until_by_key.setdefault(key, clock.now() + _REGISTRATION_GRACE_S)
            return False
        del self._entry_by_key[key]
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
