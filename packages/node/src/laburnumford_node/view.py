"""Published set in force, with indexes for routing."""

import dataclasses
from collections.abc import Mapping

from laburnumford_objects import backend_server, group, object_set, routing


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """Holds the published set in force and its indexes.

    Attributes:
        version: version of the published set.
        objects: the published set.
        routes: table that finds the route of a request.
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
    """Builds the view of each published set, with work in proportion to what has changed.

    All views share the index of servers. It is updated when a view is built, within one
    iteration of the event loop, and older views are not used after that.
    """

    def __init__(self) -> None:
        self._groups_by_name: dict[str, group.Group] = {}
        self._servers_by_name: dict[str, backend_server.BackendServer] = {}
        self._latest_view: View | None = None

    def build(self, objects: object_set.ObjectSet, version: int) -> View:
        """Returns the view of a published set.

        Args:
            objects: the published set.
            version: version of the set.
        """
        self._update_server_index(objects)
        previous = self._latest_view
        if previous is not None and previous.objects.routes_by_name is objects.routes_by_name:
            routes = previous.routes
        else:
            routes = routing.RouteTable(object_set=objects)
        self._latest_view = View(
            version=version, objects=objects, routes=routes, servers_by_name=self._servers_by_name
        )
        return self._latest_view

    def _update_server_index(self, objects: object_set.ObjectSet) -> None:
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
