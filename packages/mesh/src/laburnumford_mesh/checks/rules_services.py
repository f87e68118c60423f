"""Rules on services."""

import re
from collections.abc import Iterator

from laburnumford_mesh.checks import object_names, registry, severity, subject, violation
from laburnumford_objects import problem

_HEALTH_PATH = re.compile("/[!-~]*")
"""The path is sent in the request line of a health check as it is."""

_rule = registry.RULES.rule


@_rule("health-path-invalid", severity.Severity.ERROR)
def find_invalid_health_paths(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds health check paths that cannot be sent in a request."""
    for service, path in checked.candidate.health_path_by_service.items():
        if not _HEALTH_PATH.fullmatch(path):
            yield violation.Violation(
                object_names.of_service(service),
                "health_path",
                problem.abbreviated_repr(path),
                "a path that starts with a slash, in visible ASCII characters",
            )


@_rule("service-unused", severity.Severity.WARNING, needs_all_objects=True)
def find_unused_services(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds services whose servers get no request."""
    used = {each.name for route in checked.candidate.routes for each in route.services}
    for service in checked.candidate.health_path_by_service:
        if service not in used:
            yield violation.Violation(
                object_names.of_service(service), "", "no route to it", "at least one route to it"
            )


@_rule("no-connections", severity.Severity.ERROR)
def find_services_without_connections(
    checked: subject.Subject,
) -> Iterator[violation.Violation]:
    """Finds services whose servers would accept no connection."""
    for service, count in checked.candidate.max_connections_by_service.items():
        if count < 1:
            yield violation.Violation(
                object_names.of_service(service), "max_connections", str(count), "at least 1"
            )
