"""Rules on objects that nothing uses."""

from laburnumford_objects import _findings


def check(findings: _findings.Findings) -> None:
    """Finds services without a route, groups without a service, and unused policies."""
    objects = findings.objects
    routed_services = {entry.service for entry in objects.routes_by_name.values()}
    for name in objects.services_by_name:
        if name not in routed_services:
            _add(findings, "service", name, "a service that at least one route names")
    used_groups = {entry.group for entry in objects.services_by_name.values()}
    for name in objects.groups_by_name:
        if name not in used_groups:
            _add(findings, "group", name, "a group that at least one service names")
    used_policies = _used_policies(findings)
    for name in objects.policies_by_name:
        if name not in used_policies:
            _add(
                findings, "policy", name, "a policy that a service, a route or a used policy names"
            )


def _used_policies(findings: _findings.Findings) -> set[str]:
    objects = findings.objects
    pending_names = [entry.policy for entry in objects.services_by_name.values()]
    pending_names += [entry.policy for entry in objects.routes_by_name.values() if entry.policy]
    used: set[str] = set()
    while pending_names:
        name = pending_names.pop()
        if name not in used:
            used.add(name)
            entry = objects.policies_by_name.get(name)
            if entry is not None and entry.extends is not None:
                pending_names.append(entry.extends)
    return used


def _add(findings: _findings.Findings, kind: str, name: str, allowed: str) -> None:
    findings.add((kind, name), [], found="no use of it", allowed=allowed, rule="unreachable")
