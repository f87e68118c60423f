"""What the node routes by: one version in force, prepared for lookups."""

import dataclasses
from collections.abc import Mapping

from laburnumford_objects import backend_server, group, object_set, routing


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """One version in force.

    Attributes:
        version: version of the published set.
        objects: the published set.
        routes: lookup of routes.
        servers_by_name: all backend servers of the set.
    """

    version: int
    objects: object_set.ObjectSet
    routes: routing.RouteTable
    servers_by_name: Mapping[str, backend_server.BackendServer]

    def servers_of(self, service: str) -> tuple[backend_server.BackendServer, ...] | None:
        """Returns the backend servers of a service, or None if it is not published."""
        published = self.objects.services_by_name.get(service)
        if published is None:
            return None
        return self.objects.groups_by_name[published.group].backend_servers


class ViewBuilder:
    """Prepares each version in proportion to what changed.

    The index of servers is shared by all views and changes with the newest one, in
    the same turn of the event loop; older views are not used after that.
    """

    def __init__(self) -> None:
        self._groups_by_name: dict[str, group.Group] = {}
        self._servers_by_name: dict[str, backend_server.BackendServer] = {}
        self._last: View | None = None

    def build(self, objects: object_set.ObjectSet, version: int) -> View:
        """Returns the view of a published set."""
        self._index(objects)
        last = self._last
        if last is not None and last.objects.routes_by_name is objects.routes_by_name:
            routes = last.routes
        else:
            routes = routing.RouteTable(object_set=objects)
        self._last = View(
            version=version, objects=objects, routes=routes, servers_by_name=self._servers_by_name
        )
        return self._last

    def _index(self, objects: object_set.ObjectSet) -> None:
        changed = [
            found
            for name, found in objects.groups_by_name.items()
            if self._groups_by_name.get(name) is not found
        ]
        removed = self._groups_by_name.keys() - objects.groups_by_name.keys()
        for name in [*removed, *(found.name for found in changed)]:
            former = self._groups_by_name.pop(name, None)
            for server in former.backend_servers if former is not None else ():
                self._servers_by_name.pop(server.name, None)
        for found in changed:
            self._groups_by_name[found.name] = found
            for server in found.backend_servers:
                self._servers_by_name[server.name] = server
