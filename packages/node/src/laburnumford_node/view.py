"""What the node routes by: one version in force, prepared for lookups."""

import dataclasses
from collections.abc import Mapping

from laburnumford_objects import backend_server, object_set, routing


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """One version in force.

    Attributes:
        version: version of the published set.
        objects: the published set.
        routes: lookup of routes.
        servers_by_name: all backend servers of the set.
        server_names_by_service: backend servers that serve each service.
    """

    version: int
    objects: object_set.ObjectSet
    routes: routing.RouteTable
    servers_by_name: Mapping[str, backend_server.BackendServer]
    server_names_by_service: Mapping[str, tuple[str, ...]]


def build(objects: object_set.ObjectSet, version: int) -> View:
    """Returns the view of a published set."""
    servers_by_name = {
        server.name: server
        for published in objects.groups_by_name.values()
        for server in published.backend_servers
    }
    names_by_service = {
        service.name: tuple(
            server.name for server in objects.groups_by_name[service.group].backend_servers
        )
        for service in objects.services_by_name.values()
    }
    return View(
        version=version,
        objects=objects,
        routes=routing.RouteTable(object_set=objects),
        servers_by_name=servers_by_name,
        server_names_by_service=names_by_service,
    )
