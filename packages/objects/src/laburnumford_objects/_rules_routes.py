"""Rules on routes that match the same requests."""

import typing

from laburnumford_objects import _findings, route

_ALL_METHODS = frozenset(typing.get_args(route.Method))


def check(findings: _findings.Findings) -> None:
    """Finds routes that match requests that another route of the same host and prefix matches."""
    routes_by_host_and_prefix: dict[tuple[str | None, str], list[route.Route]] = {}
    for entry in findings.objects.routes_by_name.values():
        routes_by_host_and_prefix.setdefault((entry.host, entry.path_prefix), []).append(entry)
    for routes in routes_by_host_and_prefix.values():
        if len(routes) > 1:
            _check_methods(findings, routes)


def _check_methods(findings: _findings.Findings, routes: list[route.Route]) -> None:
    first_by_method: dict[str, route.Route] = {}
    for entry in routes:
        for method in sorted(set(entry.methods or ("any method",))):
            first = first_by_method.setdefault(method, entry)
            if first is not entry:
                _add(findings, entry, f"{method}, which route {first.name!r} also takes")
    any_method_route = first_by_method.get("any method")
    if any_method_route is not None and first_by_method.keys() >= _ALL_METHODS:
        _add(findings, any_method_route, "any method, while other routes take every method")


def _add(findings: _findings.Findings, entry: route.Route, found: str) -> None:
    findings.add(
        ("route", entry.name),
        ["methods"] if entry.methods else ["path_prefix"],
        found=f"host {entry.host or 'any'}, path_prefix {entry.path_prefix!r}, {found}",
        allowed="a host, path prefix and method that no other route has",
        rule="shadowed-route",
    )
