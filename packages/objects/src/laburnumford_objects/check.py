"""Checks a whole object set before it is published, and a delta before it is applied."""

from laburnumford_objects import (
    _findings,
    _rules_names,
    _rules_references,
    _rules_routes,
    _rules_use,
    _rules_values,
    deployment,
    object_set,
    problem,
)
from laburnumford_objects import delta as deltas


def check(objects: object_set.ObjectSet) -> tuple[problem.Problem, ...]:
    """Returns all problems of an object set, ordered by line."""
    findings = _findings.Findings(objects=objects, invalid_objects=frozenset())
    _check_all(findings)
    _rules_use.check(findings)
    _rules_values.check(findings)
    return tuple(sorted(findings.problems, key=lambda entry: entry.line))


def check_read_result(result: deployment.ReadResult) -> tuple[problem.Problem, ...]:
    """Returns the problems of a deployment file and of its valid objects, ordered by line."""
    if result.object_set is None:
        return result.problems
    if not result.problems:
        return check(result.object_set)
    # Without the invalid objects, others would look unused, so the rules on use are left out. Of an
    # invalid object the problems inside it are reported, but not the references to it.
    findings = _findings.Findings(
        objects=result.object_set, invalid_objects=result.invalid_objects
    )
    _check_all(findings)
    problems = [*result.problems, *findings.problems]
    return tuple(sorted(problems, key=lambda entry: entry.line))


def check_delta(
    objects: object_set.ObjectSet, change: deltas.Delta
) -> tuple[problem.Problem, ...]:
    """Returns the problems that a delta causes in an object set that had none.

    Checks the changed objects and, if an object was removed, the objects that could refer to it,
    so the cost depends on the delta. Duplicate names and addresses of backend servers and unused
    objects are left to `check`, which the publisher runs on the whole set.

    Args:
        objects: the object set after the delta was applied.
        change: the delta.
    """
    findings = _findings.Findings(objects=objects, invalid_objects=frozenset())
    if change.routes:
        _rules_routes.check(findings)
    if change.removes_reference_targets():
        _rules_references.check(findings)
        return tuple(findings.problems)
    for zone in change.zones:
        _rules_references.check_zone(findings, zone)
    for service in change.services:
        _rules_references.check_service(findings, service)
    for group in change.groups:
        _rules_references.check_servers(findings, group.name, group.backend_servers)
    for route in change.routes:
        _rules_references.check_route(findings, route)
    if change.policies:
        # A policy can contradict the changed policy that it extends.
        for policy in objects.policies_by_name.values():
            _rules_references.check_policy(findings, policy)
    return tuple(findings.problems)


def _check_all(findings: _findings.Findings) -> None:
    _rules_references.check(findings)
    _rules_names.check(findings)
    _rules_routes.check(findings)
