"""Published configuration with route lookup."""

from collections.abc import Iterable, Mapping

from laburnumford_mesh import cold_start, route
from laburnumford_mesh import limits as limits_module


class Configuration:
    """Holds one version of the routes, services and limits.

    Args:
        version: version number.
        routes: all routes.
        health_path_by_service: health check path of each service.
        max_connections_by_service: largest number of connections that a
            server accepts, for each service.
        limits: limits on the requests of callers.
        cold_start_by_service: limit on requests to cold servers, for each service that has one.
    """

    def __init__(
        self,
        *,
        version: int,
        routes: Iterable[route.Route],
        health_path_by_service: Mapping[str, str],
        max_connections_by_service: Mapping[str, int],
        limits: limits_module.Limits,
        cold_start_by_service: Mapping[str, cold_start.ColdStart] | None = None,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.health_path_by_service = dict(health_path_by_service)
        self.max_connections_by_service = dict(max_connections_by_service)
        self.limits = limits
        self.cold_start_by_service = dict(cold_start_by_service or {})
        self.services = frozenset(self.health_path_by_service).union(
            each.name for one_route in self.routes for each in one_route.services
        )
        """Names of all services that the configuration knows."""
        self._route_by_host_and_prefix = {(each.host, each.prefix): each for each in self.routes}

    def find_route(self, host: str, path: str) -> route.Route | None:
        """Returns the route of `host` with the longest prefix of `path`, or None.

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
