"""Tests of the checks on a whole object set."""

import copy
import json
import pathlib

import pytest

from laburnumford_objects import check, deployment


def _server(number, **fields):
    addresses = {
        field: f"127.0.0.{number}:{port}"
        for port, field in enumerate(
            ("address", "edge_address", "peer_address", "control_address"), 8000
        )
    }
    return {"name": f"b{number}", "zone": "z", "slots": 12, **addresses, **fields}


_VALID = {
    "workspace": "w",
    "zones": [{"name": "z", "region": "r"}],
    "policies": [{"name": "p"}, {"name": "q", "extends": "p", "hedge": False}],
    "services": [{"name": "s", "group": "g", "policy": "q"}],
    "routes": [{"name": "t", "service": "s", "path_prefix": "/t"}],
    "groups": [{"name": "g", "backend_servers": [_server(1), _server(2)]}],
}


@pytest.fixture
def problems_after(write):
    """Returns a function that changes a valid deployment and returns its problems."""

    def check_changed(change):
        value = copy.deepcopy(_VALID)
        change(value)
        return check.check_read_result(deployment.read(write(json.dumps(value, indent=1))))

    return check_changed


def _line_of(file, text):
    lines = pathlib.Path(file).read_text().splitlines()
    return max(number for number, line in enumerate(lines, 1) if text in line)


@pytest.mark.parametrize("name", ["nordvarde", "cyclone"])
def test_examples_have_no_problem(examples, name):
    """Guards against examples that an operator could not publish."""
    assert check.check(deployment.load(str(examples / f"{name}.jsonc"))) == ()


def _append(section, **fields):
    return lambda value: value[section].append(fields)


def _set(section, index, **fields):
    return lambda value: value[section][index].update(fields)


def _set_server(**fields):
    return lambda value: value["groups"][0]["backend_servers"][1].update(fields)


_SERVER_B2 = "backend server 'b2' of group 'g'"


@pytest.mark.parametrize(
    ("change", "expected", "line_text"),
    [
        (_set("services", 0, group="x"), "unknown-reference, service 's', group", '"x"'),
        (_set("services", 0, policy="x"), "unknown-reference, service 's', policy", '"x"'),
        (_set("routes", 0, service="x"), "unknown-reference, route 't', service", '"x"'),
        (_set("routes", 0, policy="x"), "unknown-reference, route 't', policy", '"x"'),
        (_set("policies", 0, extends="x"), "unknown-reference, policy 'p', extends", '"x"'),
        (
            _set("zones", 0, one_way_ms_by_zone={"x": 1}),
            "unknown-reference, zone 'z', one_way_ms_by_zone.x",
            '"x"',
        ),
        (_set_server(zone="x"), f"unknown-reference, {_SERVER_B2}, zone", '"x"'),
        (_set("policies", 0, extends="q"), "cycle, policy 'p', extends", '"extends": "q"'),
        (_append("zones", name="z", region="y"), "duplicate-name, zone 'z', name", '"name": "z"'),
        (_set_server(name="b1"), f"duplicate-name, {_SERVER_B2.replace('2', '1')}, name", '"b1"'),
        (
            _set_server(peer_address="127.0.0.1:8000"),
            f"duplicate-address, {_SERVER_B2}, peer_address",
            "127.0.0.1:8000",
        ),
        (_set("policies", 0, queue_limit=-1), "out-of-range, policy 'p', queue_limit", "-1"),
        (
            _set("policies", 1, hedge=True, idempotent=False),
            "out-of-range, policy 'q', hedge",
            '"hedge"',
        ),
        (
            _append("services", name="u", group="g", policy="p"),
            "unreachable, service 'u', ",
            '"u"',
        ),
        (
            _append("groups", name="u", backend_servers=[_server(3)]),
            "unreachable, group 'u', ",
            '"u"',
        ),
        (_append("policies", name="u", extends="p"), "unreachable, policy 'u', ", '"u"'),
        (
            _append("routes", name="u", service="s", path_prefix="/t"),
            "shadowed-route, route 'u', path_prefix",
            '"path_prefix"',
        ),
    ],
)
def test_problem_is_located(problems_after, change, expected, line_text):
    """Guards against a problem that check misses or reports for another object, field or line."""
    rule = expected.partition(",")[0]
    problems = [entry for entry in problems_after(change) if entry.rule == rule]
    first = problems[0]
    assert f"{first.rule}, {first.object}, {first.field}" == expected
    line = _line_of(first.file, line_text)
    assert first.line == (line if first.field else line - 1)  # an object starts before its name
    assert len(problems) == (2 if rule == "cycle" else 1)


def test_routes_with_other_hosts_or_methods_do_not_shadow(problems_after):
    """Guards against a rule that forbids a specific route next to a general one."""
    place = {"service": "s", "path_prefix": "/t"}
    assert problems_after(_append("routes", name="u", methods=["GET", "HEAD"], **place)) == ()
    assert problems_after(_append("routes", name="u", host="lab.example", **place)) == ()
    methods = ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE"]
    (problem,) = problems_after(_append("routes", name="u", methods=methods, **place))
    assert (problem.object, problem.rule) == ("route 't'", "shadowed-route")


def test_invalid_objects_hide_no_other_problem(problems_after):
    """Guards against problems found only in a second run, and references reported by mistake.

    A reference to an object that is in the file but not valid is no problem.
    """

    def change(value):
        value["groups"][0]["backend_servers"][0]["slots"] = 0
        value["policies"][0]["timeout_ms"] = "1"
        value["routes"][0]["service"] = "x"

    found = {(entry.object, entry.field) for entry in problems_after(change)}
    assert found == {
        ("backend server 'b1' of group 'g'", "slots"),
        ("policy 'p'", "timeout_ms"),
        ("route 't'", "service"),
    }


def test_objects_made_by_code_are_checked(nordvarde):
    """Guards against values that were not validated, and keys that differ from the name."""
    lookup = nordvarde.policies_by_name["lookup"]
    policies = {**nordvarde.policies_by_name, "lookup": lookup.model_copy(update={"grace_s": -1})}
    zones = dict(nordvarde.zones_by_name)
    zones["oslo-a"] = zones["oslo-a"].model_copy(update={"name": "oslo-x"})
    changed = nordvarde.model_copy(update={"policies_by_name": policies, "zones_by_name": zones})
    found = {(entry.object, entry.field, entry.rule) for entry in check.check(changed)}
    assert ("policy 'lookup'", "grace_s", "out-of-range") in found
    assert ("zone 'oslo-a'", "name", "name") in found


def test_set_over_the_size_limit_is_a_problem(nordvarde, monkeypatch):
    """Guards against a version that is too large for the platform to store."""
    monkeypatch.setattr("laburnumford_objects._packing.MAX_VALUE_BYTES", 500)
    (problem,) = check.check(nordvarde)
    assert (problem.rule, problem.object) == ("too-large", "workspace 'nordvarde'")
    assert problem.allowed == "at most 500 bytes"
