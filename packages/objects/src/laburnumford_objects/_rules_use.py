"""Rules on objects that nothing uses."""

from laburnumford_objects import _findings


def check(findings: _findings.Findings) -> None:
    """Finds services without route, groups without service, and policies that nobody uses."""
    objects = findings.objects
    routed = {entry.service for entry in objects.routes_by_name.values()}
    for name in objects.services_by_name:
        if name not in routed:
            _add(findings, "service", name, "a service that at least one route names")
    served = {entry.group for entry in objects.services_by_name.values()}
    for name in objects.groups_by_name:
        if name not in served:
            _add(findings, "group", name, "a group that at least one service names")
    used = _used_policies(findings)
    for name in objects.policies_by_name:
        if name not in used:
            _add(
                findings, "policy", name, "a policy that a service, a route or a used policy names"
            )


def _used_policies(findings: _findings.Findings) -> set[str]:
    objects = findings.objects
    open_names = [entry.policy for entry in objects.services_by_name.values()]
    open_names += [entry.policy for entry in objects.routes_by_name.values() if entry.policy]
    used: set[str] = set()
    while open_names:
        name = open_names.pop()
        if name not in used:
            used.add(name)
            entry = objects.policies_by_name.get(name)
            if entry is not None and entry.extends is not None:
                open_names.append(entry.extends)
    return used


def _add(findings: _findings.Findings, kind: str, name: str, allowed: str) -> None:
    findings.add((kind, name), [], found="no use of it", allowed=allowed, rule="unreachable")
