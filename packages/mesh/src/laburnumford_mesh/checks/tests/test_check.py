"""Tests of the rules on configurations."""

import dataclasses

import pytest

from laburnumford_mesh import configuration, weighted_service
from laburnumford_mesh.checks import check, registry, severity, subject
from laburnumford_mesh.checks.tests import samples


def _route(**changes):
    return dataclasses.replace(samples.ROUTE, **changes)


def _services(*names):
    return tuple(weighted_service.WeightedService(name, 1.0) for name in names)


def _check(candidate, in_force=None, *, complete=True):
    return check.check(subject.Subject(candidate=candidate, in_force=in_force, complete=complete))


VIOLATIONS = [
    ("host-never-matches", samples.make_configuration(_route(host="h.example:80")), "host"),
    ("host-never-matches", samples.make_configuration(_route(host="*.example")), "host"),
    ("prefix-never-matches", samples.make_configuration(_route(prefix="a/")), "prefix"),
    ("prefix-never-matches", samples.make_configuration(_route(prefix="/a")), "prefix"),
    ("prefix-never-matches", samples.make_configuration(_route(prefix="/a?b/")), "prefix"),
    ("route-duplicate", samples.make_configuration(samples.ROUTE, _route(name="q")), "prefix"),
    (
        "route-name-duplicate",
        samples.make_configuration(samples.ROUTE, _route(prefix="/b/")),
        "name",
    ),
    (
        "service-undefined",
        samples.make_configuration(
            samples.ROUTE, _route(name="q", prefix="/b/", services=_services("t"))
        ),
        "services",
    ),
    (
        "service-repeated",
        samples.make_configuration(_route(services=_services("s", "s"))),
        "services",
    ),
    ("timeout-too-short", samples.make_configuration(_route(timeout_s=0.0)), "timeout_s"),
    (
        "target-latency-zero",
        samples.make_configuration(_route(target_latency_s=0.0)),
        "target_latency_s",
    ),
    (
        "target-latency-above-timeout",
        samples.make_configuration(_route(target_latency_s=0.9)),
        "target_latency_s",
    ),
    ("health-path-invalid", samples.make_configuration(health_path="health"), "health_path"),
    ("health-path-invalid", samples.make_configuration(health_path="/a b"), "health_path"),
    ("no-connections", samples.make_configuration(connections=0), "max_connections"),
    ("limit-zero", samples.make_configuration(header_bytes=0), "header_bytes"),
    ("limit-zero", samples.make_configuration(header_timeout_s=0.0), "header_timeout_s"),
    ("body-limit-zero", samples.make_configuration(body_bytes=0), "body_bytes"),
    (
        "body-limit-too-large",
        samples.make_configuration(body_bytes=72 * 1024 * 1024),
        "body_bytes",
    ),
    (
        "header-timeout-above-idle-timeout",
        samples.make_configuration(header_timeout_s=16.0),
        "header_timeout_s",
    ),
]


def test_usable_configuration_has_no_findings():
    """Guards against findings that operators learn to ignore."""
    assert _check(samples.make_configuration()) == ()
    assert _check(samples.make_configuration(version=8), samples.make_configuration()) == ()
    root = _route(name="root", prefix="/")
    assert _check(samples.make_configuration(samples.ROUTE, root)) == ()


@pytest.mark.parametrize(("code", "candidate", "field"), VIOLATIONS)
def test_violation_is_found_once(code, candidate, field):
    """Guards against a fault that reaches the nodes, and one that is reported in many ways."""
    found = _check(candidate)
    assert [each.code for each in found if each.field == field] == [code]
    assert all(each.found and each.allowed and each.object for each in found)


def test_unused_service_and_missing_routes_are_found():
    """Guards against a service or a whole configuration that gets no request."""
    candidate = configuration.Configuration(
        version=1,
        routes=(),
        health_path_by_service={"s": "/health"},
        max_connections_by_service={"s": 10},
        limits=samples.LIMITS,
    )
    found = _check(candidate)
    assert {each.code: each.severity for each in found} == {
        "no-routes": severity.Severity.ERROR,
        "service-unused": severity.Severity.WARNING,
    }


def test_missing_objects_are_not_reported_for_a_partly_read_configuration():
    """Guards against findings that only follow from an object that could not be read."""
    in_force = samples.make_configuration(samples.ROUTE, _route(name="q", prefix="/b/"))
    candidate = samples.make_configuration(_route(services=_services("t")), version=1)
    assert _check(candidate, in_force, complete=False) == ()


@pytest.mark.parametrize("version", [6, 7])
def test_version_must_be_newer_than_the_one_in_force(version):
    """Guards against a version that nodes ignore."""
    (found,) = _check(samples.make_configuration(version=version), samples.make_configuration())
    assert (found.code, found.found) == ("version-not-newer", str(version))
    assert found.severity is severity.Severity.ERROR


def test_removed_route_names_what_its_requests_get():
    """Guards against a removed route whose callers get another policy unnoticed."""
    inner = _route(name="inner", prefix="/a/b/")
    (found,) = _check(
        samples.make_configuration(version=8), samples.make_configuration(samples.ROUTE, inner)
    )
    assert found.code == "route-removed"
    assert "its requests get route 'r'" in found.found
    other = _route(name="other", prefix="/b/")
    (found,) = _check(
        samples.make_configuration(version=8), samples.make_configuration(samples.ROUTE, other)
    )
    assert "its requests get 404" in found.found


def test_route_that_may_newly_run_twice_is_found():
    """Guards against bookings that run twice after a changed kind."""
    in_force = samples.make_configuration(_route(idempotent=False))
    (found,) = _check(samples.make_configuration(version=8), in_force)
    assert found.code == "route-may-run-twice"
    assert (
        _check(
            samples.make_configuration(_route(idempotent=False), version=8),
            samples.make_configuration(),
        )
        == ()
    )


def test_errors_come_before_warnings():
    """Guards against an error below a long list of warnings."""
    candidate = samples.make_configuration(
        _route(target_latency_s=0.9), _route(name="q", host="h:1", prefix="/b/")
    )
    assert [each.severity for each in _check(candidate)] == [
        severity.Severity.ERROR,
        severity.Severity.WARNING,
    ]


def test_each_rule_has_a_test():
    """Guards against a rule that never finds anything."""
    tested = {code for code, _, _ in VIOLATIONS} | {
        "no-routes",
        "service-unused",
        "version-not-newer",
        "route-removed",
        "route-may-run-twice",
    }
    assert set(registry.RULES.codes) == tested


def test_code_can_be_used_once():
    """Guards against a rule that replaces another one."""
    rules = registry.Registry()
    rules.rule("a", severity.Severity.ERROR)(lambda _: ())
    with pytest.raises(ValueError, match="code: found 'a'"):
        rules.rule("a", severity.Severity.WARNING)
