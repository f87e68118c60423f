"""Finds the route of a request."""

from laburnumford_objects import object_set, route

# Routes by path prefix and method; None stands for any method.
_RoutesByPrefix = dict[str, dict[str | None, route.Route]]


class RouteTable:
    """Finds the route of a request by its method, host and path.

    The longest matching path prefix wins. Of the routes with this prefix, those for the host go
    before those for any host, and those for the method go before those for any method.

    A lookup searches a dictionary once per segment of the path, so its cost does not depend on the
    number of routes. The path is compared as it was sent, without decoding percent-encoded
    characters or resolving dot segments.

    Args:
        object_set: the objects with the routes.
    """

    def __init__(self, *, object_set: object_set.ObjectSet) -> None:
        self._tables_by_host: dict[str | None, _RoutesByPrefix] = {None: {}}
        self._max_prefix_segments = 0
        self._max_prefix_characters = 0
        # Sorted by name, so that every node prefers the same one of two equal routes.
        for _, entry in sorted(object_set.routes_by_name.items()):
            table = self._tables_by_host.setdefault(entry.host, {})
            routes_by_method = table.setdefault(entry.path_prefix, {})
            for method in entry.methods or (None,):
                routes_by_method.setdefault(method, entry)
            self._max_prefix_segments = max(
                self._max_prefix_segments, entry.path_prefix.count("/")
            )
            self._max_prefix_characters = max(self._max_prefix_characters, len(entry.path_prefix))

    def match(self, method: str, host: str, path: str) -> route.Route | None:
        """Returns the route of a request, None if there is none.

        Args:
            method: method in upper case.
            host: value of the Host field, with or without port.
            path: target of the request in origin form, with or without a query.
        """
        if not path.startswith("/"):
            return None
        tables = [self._tables_by_host[None]]
        if len(self._tables_by_host) > 1:
            table = self._tables_by_host.get(_without_port(host))
            if table is not None:
                tables.insert(0, table)
        # No prefix is longer than `_max_prefix_characters` or has more segments than
        # `_max_prefix_segments`, so the path is cut to both. A segment that the first cut shortens
        # is too long to match.
        segments = (
            path[: self._max_prefix_characters + 1]
            .partition("?")[0]
            .split("/", self._max_prefix_segments + 1)
        )
        prefix = "/".join(segments[: self._max_prefix_segments + 1])
        if prefix.endswith("/"):
            prefix = prefix[:-1]
        while True:
            for table in tables:
                routes_by_method = table.get(prefix or "/")
                if routes_by_method is not None:
                    found = routes_by_method.get(method) or routes_by_method.get(None)
                    if found is not None:
                        return found
            if not prefix:
                return None
            prefix = prefix[: prefix.rfind("/")]


def _without_port(host: str) -> str:
    if not host.endswith("]"):
        name, separator, _ = host.rpartition(":")
        host = name if separator else host
    return host.lower()
