"""Rules on routes."""

import collections
import re
from collections.abc import Iterator

from laburnumford_mesh import route
from laburnumford_mesh.checks import object_names, registry, severity, subject, violation
from laburnumford_objects import problem

_HOST = re.compile("[a-z0-9._-]+")
"""Hosts of requests are compared in lower case and without a port."""

_PREFIX = re.compile('/(?:[!"$->@-~]*/)?')
"""Paths of requests hold visible ASCII characters and end before a question mark."""

_MIN_TIMEOUT_S = 0.01
"""Nodes start no attempt with less time left."""

_rule = registry.RULES.rule


@_rule("no-routes", severity.Severity.ERROR, needs_all_objects=True)
def find_no_routes(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds a configuration that rejects every request."""
    if not checked.candidate.routes:
        yield violation.Violation(
            object_names.CONFIGURATION, "routes", "no route", "at least one route"
        )


@_rule("host-never-matches", severity.Severity.ERROR)
def find_unmatchable_hosts(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds hosts that no request can have."""
    for each in checked.candidate.routes:
        if not _HOST.fullmatch(each.host):
            yield violation.Violation(
                object_names.of_route(each),
                "host",
                problem.abbreviated_repr(each.host),
                "a host name without a port and without wildcards",
            )


@_rule("prefix-never-matches", severity.Severity.ERROR)
def find_unmatchable_prefixes(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds path prefixes that no request can have."""
    for each in checked.candidate.routes:
        if not _PREFIX.fullmatch(each.prefix):
            yield violation.Violation(
                object_names.of_route(each),
                "prefix",
                problem.abbreviated_repr(each.prefix),
                "a path that starts and ends with a slash, without query and fragment",
            )


@_rule("route-duplicate", severity.Severity.ERROR)
def find_duplicate_routes(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds routes that never match because a later one has the same host and prefix."""
    last_by_key = {(each.host, each.prefix): each for each in checked.candidate.routes}
    for each in checked.candidate.routes:
        last = last_by_key[(each.host, each.prefix)]
        if last is not each:
            yield violation.Violation(
                object_names.of_route(each),
                "prefix",
                f"{problem.abbreviated_repr(each.prefix)} again in route {problem.abbreviated_repr(last.name)}",
                "one route for a host and prefix; the last one is used",
            )


@_rule("route-name-duplicate", severity.Severity.WARNING)
def find_duplicate_names(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds routes that share a name, by which nodes learn service times."""
    first_by_name: dict[str, route.Route] = {}
    for each in checked.candidate.routes:
        first = first_by_name.setdefault(each.name, each)
        if first is not each:
            yield violation.Violation(
                object_names.of_route(each),
                "name",
                f"the name of {object_names.of_route(first)}",
                "a name of its own, by which service times are learned",
            )


@_rule("service-undefined", severity.Severity.ERROR, needs_all_objects=True)
def find_undefined_services(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds routes to services without a definition, whose servers get no health checks."""
    defined = checked.candidate.health_path_by_service
    for each in checked.candidate.routes:
        for used in each.services:
            if used.name not in defined:
                yield violation.Violation(
                    object_names.of_route(each),
                    "services",
                    problem.abbreviated_repr(used.name),
                    f"one of the defined services {problem.abbreviated_repr(sorted(defined))}",
                )


@_rule("service-repeated", severity.Severity.WARNING)
def find_repeated_services(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds routes that name a service twice, whose weights add up."""
    for each in checked.candidate.routes:
        count_by_name = collections.Counter(used.name for used in each.services)
        for name, count in count_by_name.items():
            if count > 1:
                yield violation.Violation(
                    object_names.of_route(each),
                    "services",
                    f"{problem.abbreviated_repr(name)} {count} times",
                    "each service once",
                )


@_rule("timeout-too-short", severity.Severity.ERROR)
def find_short_timeouts(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds routes whose requests are all refused for their deadline."""
    for each in checked.candidate.routes:
        if each.timeout_s <= _MIN_TIMEOUT_S:
            yield violation.Violation(
                object_names.of_route(each),
                "timeout_s",
                f"{each.timeout_s:g}",
                f"above {_MIN_TIMEOUT_S:g} s",
            )


@_rule("target-latency-zero", severity.Severity.WARNING)
def find_zero_target_latencies(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds routes whose answers all count as late, so that others go first."""
    for each in checked.candidate.routes:
        if each.target_latency_s <= 0 < each.timeout_s:
            yield violation.Violation(
                object_names.of_route(each),
                "target_latency_s",
                f"{each.target_latency_s:g}",
                f"above 0 s and at most the timeout of {each.timeout_s:g} s",
            )


@_rule("target-latency-above-timeout", severity.Severity.WARNING)
def find_late_target_latencies(checked: subject.Subject) -> Iterator[violation.Violation]:
    """Finds routes whose answers would keep their value after the caller has been answered."""
    for each in checked.candidate.routes:
        if each.target_latency_s > each.timeout_s:
            yield violation.Violation(
                object_names.of_route(each),
                "target_latency_s",
                f"{each.target_latency_s:g}",
                f"at most the timeout of {each.timeout_s:g} s",
            )
