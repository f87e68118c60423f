"""Tests of the comparison of configurations."""

import dataclasses

from laburnumford_mesh import weighted_service
from laburnumford_mesh.checks import difference
from laburnumford_mesh.checks.tests import samples


def _changes(in_force, candidate):
    return [str(each) for each in difference.compare(in_force, candidate)]


def test_equal_configurations_have_no_changes():
    """Guards against changes that are none, such as the order of objects."""
    other = dataclasses.replace(samples.ROUTE, name="q", prefix="/b/")
    first = samples.make_configuration(samples.ROUTE, other)
    assert _changes(first, samples.make_configuration(other, samples.ROUTE)) == []


def test_each_changed_field_is_named_with_both_values():
    """Guards against a change of policy that an operator did not intend and does not see."""
    changed = dataclasses.replace(samples.ROUTE, timeout_s=1.5, max_attempts=1)
    found = _changes(
        samples.make_configuration(),
        samples.make_configuration(changed, version=8, health_path="/up", body_bytes=5),
    )
    assert found == [
        "changed configuration: version: 7 -> 8",
        "changed limits: body_bytes: 67108864 -> 5",
        "changed service 's': health_path: /health -> /up",
        "changed route at 'h.example/a/': timeout_s: 0.8 -> 1.5",
        "changed route at 'h.example/a/': max_attempts: 2 -> 1",
    ]


def test_added_and_removed_objects_are_named():
    """Guards against a lost route that is not listed."""
    other = dataclasses.replace(samples.ROUTE, name="q", prefix="/b/")
    (added,) = _changes(
        samples.make_configuration(), samples.make_configuration(samples.ROUTE, other)
    )
    (removed,) = _changes(
        samples.make_configuration(samples.ROUTE, other), samples.make_configuration()
    )
    assert added.startswith("added route at 'h.example/b/': name q")
    assert removed.startswith("removed route at 'h.example/b/': name q")


def test_weights_are_compared_as_shares():
    """Guards against a change that is none, and against one in a split that is not shown."""

    def split(first, second):
        services = (
            weighted_service.WeightedService("s", first),
            weighted_service.WeightedService("t", second),
        )
        return samples.make_configuration(dataclasses.replace(samples.ROUTE, services=services))

    assert _changes(split(1.0, 3.0), split(25.0, 75.0)) == []
    (found,) = _changes(split(1.0, 3.0), split(1.0, 1.0))
    assert found.endswith("services: s 25.0%, t 75.0% -> s 50.0%, t 50.0%")


def test_long_paths_are_told_apart():
    """Guards against routes that are taken for one because their names are cut."""
    first, second = (
        dataclasses.replace(samples.ROUTE, name=name, prefix=f"/{'x' * 300}{name}{'x' * 300}/")
        for name in ("a", "b")
    )
    (found,) = _changes(
        samples.make_configuration(first, second), samples.make_configuration(first)
    )
    assert found.startswith("removed")
