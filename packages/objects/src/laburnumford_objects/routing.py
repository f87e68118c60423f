"""Finds the route of a request."""

from laburnumford_objects import object_set, route


class RouteTable:
    """Finds the route of a request by its method, host and path.

    The longest matching path prefix wins. Of the routes with this prefix, those for the host go
    before those for any host, and those for the method go before those for any method.

    A lookup probes a dictionary once per segment of the path, so that it does not depend on the
    number of routes. The path is compared as it was sent, without decoding percent-encoded
    characters or resolving dot segments.

    Args:
        object_set: the objects whose routes are looked up.
    """

    def __init__(self, *, object_set: object_set.ObjectSet) -> None:
        self._routes_by_place: dict[tuple[str | None, str], dict[str | None, route.Route]] = {}
        self._with_hosts = False
        self._longest = 0
        # In the order of names, so that the first of two equal routes wins on every node.
        for _, entry in sorted(object_set.routes_by_name.items()):
            place = (entry.host, entry.path_prefix)
            routes_by_method = self._routes_by_place.setdefault(place, {})
            for method in entry.methods or (None,):
                routes_by_method.setdefault(method, entry)
            self._with_hosts |= entry.host is not None
            self._longest = max(self._longest, len(entry.path_prefix))

    def match(self, method: str, host: str, path: str) -> route.Route | None:
        """Returns the route of a request, None if there is none.

        Args:
            method: method in upper case.
            host: value of the Host field, with or without port.
            path: target of the request in origin form, with or without a query.
        """
        if not path.startswith("/"):
            return None
        hosts = (_without_port(host), None) if self._with_hosts else (None,)
        # One character more than the longest prefix shows whether its segment ends there.
        prefix = path[: self._longest + 1].partition("?")[0]
        if len(prefix) > self._longest and not prefix.endswith("/"):
            prefix = prefix[: prefix.rfind("/")] or "/"
        if len(prefix) > 1 and prefix.endswith("/"):
            prefix = prefix[:-1]
        while True:
            for name in hosts:
                routes_by_method = self._routes_by_place.get((name, prefix))
                if routes_by_method is not None:
                    found = routes_by_method.get(method) or routes_by_method.get(None)
                    if found is not None:
                        return found
            if len(prefix) <= 1:
                return None
            prefix = prefix[: prefix.rfind("/")] or "/"


def _without_port(host: str) -> str:
    if not host.endswith("]"):
        name, separator, _ = host.rpartition(":")
        host = name if separator else host
    return host.lower()
