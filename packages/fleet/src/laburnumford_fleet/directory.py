"""Directory of the servers and nodes in the version in force."""

import dataclasses
from collections.abc import Mapping

from laburnumford_objects import backend_server, group, object_set


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryChange:
    """Describes what a version changed in the directory.

    `servers_by_name` holds new and changed servers. `overlay_changed` tells
    whether a name, zone or control address changed, which can change the
    neighbours.
    """

    servers_by_name: Mapping[str, backend_server.BackendServer]
    removed: frozenset[str]
    overlay_changed: bool


class Directory:
    """Holds servers and zones by name; the cost of an update depends on the change."""

    def __init__(self) -> None:
        self.servers_by_name: dict[str, backend_server.BackendServer] = {}
        self.zones_by_name: dict[str, str] = {}
        self._groups_by_name: Mapping[str, group.Group] = {}
        self._groups_by_server: dict[str, set[str]] = {}

    def apply(self, objects: object_set.ObjectSet) -> DirectoryChange:
        """Applies a version and returns what it changed; skips groups that are the same object."""
        old = self._groups_by_name
        new = objects.groups_by_name
        changed: dict[str, backend_server.BackendServer] = {}
        left: set[str] = set()
        for name in old.keys() | new.keys():
            before, after = old.get(name), new.get(name)
            if before is after:
                continue
            names_after = set()
            for server in after.backend_servers if after else ():
                names_after.add(server.name)
                self._groups_by_server.setdefault(server.name, set()).add(name)
                if self.servers_by_name.get(server.name) != server:
                    changed[server.name] = server
            for server in before.backend_servers if before else ():
                if server.name not in names_after:
                    self._groups_by_server[server.name].discard(name)
                    left.add(server.name)
        self._groups_by_name = dict(new)
        removed = frozenset(name for name in left if not self._groups_by_server[name])
        overlay_changed = bool(removed)
        for name in removed:
            del self._groups_by_server[name]
            del self.servers_by_name[name]
            del self.zones_by_name[name]
            changed.pop(name, None)
        for name, server in changed.items():
            known = self.servers_by_name.get(name)
            if known is None or (known.zone, known.control_address) != (
                server.zone,
                server.control_address,
            ):
                overlay_changed = True
            self.servers_by_name[name] = server
            self.zones_by_name[name] = server.zone
        return DirectoryChange(changed, removed, overlay_changed)
