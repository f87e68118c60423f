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
    """Returns all problems of a set, in the order of their lines."""
    findings = _findings.Findings(objects=objects, broken=frozenset())
    _check_all(findings)
    _rules_use.check(findings)
    _rules_values.check(findings)
    return tuple(sorted(findings.problems, key=lambda entry: entry.line))


def check_reading(reading: deployment.Reading) -> tuple[problem.Problem, ...]:
    """Returns the problems of a deployment file and of the objects that could be read from it."""
    if reading.object_set is None:
        return reading.problems
    if not reading.problems:
        return check(reading.object_set)
    # Without the broken objects, others would look unused; only their own faults are reported.
    findings = _findings.Findings(objects=reading.object_set, broken=reading.broken)
    _check_all(findings)
    problems = [*reading.problems, *findings.problems]
    return tuple(sorted(problems, key=lambda entry: entry.line))


def check_delta(
    objects: object_set.ObjectSet, change: deltas.Delta
) -> tuple[problem.Problem, ...]:
    """Returns the problems that a delta brings into a set that had none.

    Looks at the changed objects and, where an object was removed, at the objects that could refer
    to it, so that the cost follows the change. Duplicate names and addresses of backend servers
    and unused objects are left to `check`, which the publisher runs on the whole set.

    Args:
        objects: the set after the delta.
        change: the delta.
    """
    findings = _findings.Findings(objects=objects, broken=frozenset())
    if change.routes:
        _rules_routes.check(findings)
    if change.removes():
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
