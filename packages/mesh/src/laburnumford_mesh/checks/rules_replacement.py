"""Rules on the replacement of the configuration in force."""

from collections.abc import Iterator

from laburnumford_mesh.checks import object_names, registry, severity, subject, violation
from laburnumford_objects import problem

_rule = registry.RULES.rule


@_rule("version-not-newer", severity.Severity.ERROR, needs_all_objects=True)
def find_old_version(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds a version that nodes ignore because they have it or a newer one."""
    in_force = checked.in_force
    if in_force is not None and checked.candidate.version <= in_force.version:
        yield violation.Violation(
            object_names.CONFIGURATION,
            "version",
            str(checked.candidate.version),
            f"above {in_force.version}, the version in force",
        )


@_rule("route-removed", severity.Severity.WARNING, needs_all_objects=True)
def find_removed_routes(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds routes in force whose requests would get another route or 404."""
    if checked.in_force is None:
        return
    kept = {(each.host, each.prefix) for each in checked.candidate.routes}
    for each in checked.in_force.routes:
        if (each.host, each.prefix) in kept:
            continue
        other = checked.candidate.find_route(each.host, each.prefix)
        outcome = "404" if other is None else f"route {problem.abbreviated_repr(other.name)}"
        yield violation.Violation(
            object_names.of_route(each),
            "",
            f"not in the new version; its requests get {outcome}",
            "routes of the version in force, unless their requests have ended",
        )


@_rule("route-may-run-twice", severity.Severity.WARNING, needs_all_objects=True)
def find_new_idempotent_routes(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds routes whose requests ran at most once so far and may run more often."""
    if checked.in_force is None:
        return
    once = {(each.host, each.prefix) for each in checked.in_force.routes if not each.idempotent}
    for each in checked.candidate.routes:
        if each.idempotent and (each.host, each.prefix) in once:
            yield violation.Violation(
                object_names.of_route(each),
                "idempotent",
                "true, in force false",
                "false, unless a request may run more than once",
            )
