"""Rules on references between objects."""

from collections.abc import Iterable

from laburnumford_objects import (
    _findings,
    backend_server,
    errors,
    policy,
    resolution,
    route,
    service,
    zone,
)


def check(findings: _findings.Findings) -> None:
    """Finds references to missing objects, policy cycles and contradicting policy fields."""
    objects = findings.objects
    for zone_ in objects.zones_by_name.values():
        check_zone(findings, zone_)
    for service_ in objects.services_by_name.values():
        check_service(findings, service_)
    for group_ in objects.groups_by_name.values():
        check_servers(findings, group_.name, group_.backend_servers)
    for route_ in objects.routes_by_name.values():
        check_route(findings, route_)
    for policy_ in objects.policies_by_name.values():
        check_policy(findings, policy_)


def check_zone(findings: _findings.Findings, entry: zone.Zone) -> None:
    """Finds references of a zone to missing zones."""
    for name in entry.one_way_ms_by_zone:
        findings.check_reference(("zone", entry.name), ["one_way_ms_by_zone", name], "zone", name)


def check_service(findings: _findings.Findings, entry: service.Service) -> None:
    """Finds references of a service to a missing group or policy."""
    key = ("service", entry.name)
    findings.check_reference(key, ["group"], "group", entry.group)
    findings.check_reference(key, ["policy"], "policy", entry.policy)


def check_servers(
    findings: _findings.Findings,
    group_name: str,
    servers: Iterable[backend_server.BackendServer],
) -> None:
    """Finds references of backend servers in a group to missing zones."""
    for server in servers:
        if server.zone not in findings.objects.zones_by_name:
            key = ("backend server", group_name, server.name, 0)
            findings.check_reference(key, ["zone"], "zone", server.zone)


def check_route(findings: _findings.Findings, entry: route.Route) -> None:
    """Finds references of a route to a missing service or policy."""
    key = ("route", entry.name)
    findings.check_reference(key, ["service"], "service", entry.service)
    if entry.policy is not None:
        findings.check_reference(key, ["policy"], "policy", entry.policy)


def check_policy(findings: _findings.Findings, entry: policy.Policy) -> None:
    """Finds a reference of a policy to a missing one, its cycle, and contradicting fields."""
    key = ("policy", entry.name)
    policies = findings.objects.policies_by_name
    if entry.extends is not None:
        findings.check_reference(key, ["extends"], "policy", entry.extends)
    try:
        resolved = resolution.resolve(policies, entry.name)
    except errors.PolicyError:
        cycle = _cycle_through(findings, entry)
        if cycle:
            findings.add(
                key,
                ["extends"],
                found=f"the cycle {' -> '.join(cycle)}",
                allowed="a policy that does not extend this one",
                rule="cycle",
            )
        return
    if resolved.hedge and resolved.idempotent is False:
        findings.add(
            key,
            ["hedge"] if "hedge" in entry.model_fields_set else ["idempotent"],
            found="hedge true with idempotent false",
            allowed="hedge true only for requests that may run twice",
            rule="out-of-range",
        )


def _cycle_through(findings: _findings.Findings, entry: policy.Policy) -> list[str]:
    """Returns the names of the cycle that contains `entry`, or an empty list if none does.

    The name of `entry` comes first and last.
    """
    names = [entry.name]
    policies = findings.objects.policies_by_name
    while len(names) <= len(policies):
        current = policies.get(names[-1])
        if current is None or current.extends is None:
            return []
        names.append(current.extends)
        if current.extends == entry.name:
            return names
    return []
