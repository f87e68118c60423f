"""A published configuration with its route lookup."""

from collections.abc import Iterable, Mapping

from laburnumford_mesh import limits as limits_module
from laburnumford_mesh import route


class Configuration:
    """One version of routes, services and limits.

    Args:
        version: number of the version.
        routes: all routes.
        health_path_by_service: path of the health check of each service.
        connections_by_service: most connections that a server of each service accepts.
        limits: bounds on what callers may send.
    """

    def __init__(
        self,
        *,
        version: int,
        routes: Iterable[route.Route],
        health_path_by_service: Mapping[str, str],
        connections_by_service: Mapping[str, int],
        limits: limits_module.Limits,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.health_path_by_service = dict(health_path_by_service)
        self.connections_by_service = dict(connections_by_service)
        self.limits = limits
        self._route_by_host_and_prefix = {(each.host, each.prefix): each for each in self.routes}

    def find(self, host: str, path: str) -> route.Route | None:
        """Returns the route with the longest prefix of `path` among those of `host`.

        The cost grows with the number of slashes in the path, not with the number of routes.
        """
        host = host.lower()
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            found = self._route_by_host_and_prefix.get((host, path[: slash + 1]))
            if found is not None:
                return found
            end = slash
        return None
