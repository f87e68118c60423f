"""Tests of deltas, bundles and their verification."""

import functools
import hashlib
import json
import sys

import hypothesis
import pytest
from hypothesis import strategies

from laburnumford_objects import (
    backend_server,
    bundle,
    delta,
    errors,
    group,
    object_set,
    policy,
    published,
    route,
    service,
    zone,
)

_PROPERTY_SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
_KEY_PREFIX = "laburnumford/w/"


def _server(name: str, number: int, draining: bool = False) -> backend_server.BackendServer:
    ip = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    return backend_server.BackendServer(
        name=name,
        zone="z",
        slots=6,
        address=f"{ip}:8000",
        edge_address=f"{ip}:8001",
        peer_address=f"{ip}:8002",
        control_address=f"{ip}:8003",
        draining=draining,
    )


def _object_set(services, servers, **policy_fields):
    """Returns a valid object set with a number of services, and of servers per service."""
    names = [f"s{index}" for index in range(services)]
    return object_set.ObjectSet(
        workspace="w",
        zones_by_name={"z": zone.Zone(name="z", region="r")},
        policies_by_name={"p": policy.Policy(name="p", **policy_fields)},
        services_by_name={n: service.Service(name=n, group=n, policy="p") for n in names},
        routes_by_name={n: route.Route(name=n, service=n, path_prefix=f"/{n}") for n in names},
        groups_by_name={
            name: group.Group(
                name=name,
                backend_servers=tuple(
                    _server(f"{name}-{number}", index * servers + number)
                    for number in range(servers)
                ),
            )
            for index, name in enumerate(names)
        },
    )


def _drain(objects, name):
    """Returns a copy of the set in which the first server of a group is draining."""
    before = objects.groups_by_name[name]
    first = before.backend_servers[0].model_copy(update={"draining": True})
    after = group.Group(name=name, backend_servers=(first, *before.backend_servers[1:]))
    groups = {**objects.groups_by_name, name: after}
    return objects.model_copy(update={"groups_by_name": groups})


@strategies.composite
def _unchecked_object_sets(draw):
    """Returns an object set whose references may be invalid."""
    names = strategies.sampled_from(["a", "b", "c"])
    servers = strategies.dictionaries(
        strategies.sampled_from(["m", "n", "o", "q"]),
        strategies.tuples(strategies.integers(0, 2), strategies.booleans()),
        min_size=1,
    )
    policies = strategies.fixed_dictionaries(
        {},
        optional={
            "timeout_ms": strategies.sampled_from([1000, 5]),
            "extends": strategies.none() | names,
        },
    )
    return object_set.ObjectSet(
        workspace="w",
        groups_by_name={
            name: group.Group(
                name=name,
                backend_servers=tuple(
                    _server(key, number, draining=draining)
                    for key, (number, draining) in values.items()
                ),
            )
            for name, values in draw(strategies.dictionaries(names, servers)).items()
        },
        policies_by_name={
            name: policy.Policy(name=name, **fields)
            for name, fields in draw(strategies.dictionaries(names, policies)).items()
        },
        services_by_name={
            name: service.Service(name=name, group=name, policy=value)
            for name, value in draw(strategies.dictionaries(names, names)).items()
        },
    )


def _encode(objects):
    return delta.diff(object_set.ObjectSet(workspace="w"), objects).encode()


@_PROPERTY_SETTINGS
@hypothesis.given(_unchecked_object_sets(), _unchecked_object_sets())
def test_applying_a_delta_gives_the_new_set(old, new):
    """Guards against a delta that omits a change, also of the fields that a policy sets."""
    change = delta.Delta.decode(delta.diff(old, new).encode())
    reached = delta.apply(old, change)
    assert reached == new
    assert _encode(reached) == _encode(new)
    assert delta.diff(reached, new) == delta.Delta(workspace="w")
    if old == new and _encode(old) == _encode(new):
        assert reached.groups_by_name is old.groups_by_name


@_PROPERTY_SETTINGS
@hypothesis.given(_unchecked_object_sets(), _unchecked_object_sets(), _unchecked_object_sets())
def test_delta_for_another_set_ignores_no_removal(first, second, third):
    """Guards against a removal that is ignored because its object is missing."""
    change = delta.diff(first, second)
    try:
        reached = delta.apply(third, change)
    except errors.DeltaError:
        return
    for name in change.removed_groups:
        assert name in third.groups_by_name
        assert name not in reached.groups_by_name


@pytest.mark.parametrize(
    "change",
    [
        delta.Delta(workspace="other"),
        delta.Delta(workspace="w", removed_routes=("x",)),
        delta.Delta.decode(b'{"workspace":"w","groups":[{"name":"s0","removed":["x"]}]}'),
        delta.Delta.decode(b'{"workspace":"w","groups":[{"name":"s0","removed":["s0-0"]}]}'),
    ],
)
def test_delta_that_does_not_fit_is_rejected(change):
    """Guards against deltas of another workspace, removals of missing objects and empty groups."""
    with pytest.raises(errors.DeltaError):
        delta.apply(_object_set(1, 1), change)


def _count_steps(action):
    """Returns the number of Python lines, Python calls and C calls that an action runs."""
    count = 0

    def trace(*_):
        nonlocal count
        count += 1
        return trace

    def profile(_frame, event, _argument):
        nonlocal count
        count += event == "c_call"

    tracing, profiling = sys.gettrace(), sys.getprofile()
    sys.settrace(trace)
    sys.setprofile(profile)
    try:
        action()
    finally:
        sys.setprofile(profiling)
        sys.settrace(tracing)
    return count


def _objects_by_key(objects):
    """Returns all objects of a set by kind and name, servers included."""
    sections = ("zones", "services", "groups", "routes", "policies")
    parts = {
        (section, name): entry
        for section in sections
        for name, entry in getattr(objects, f"{section}_by_name").items()
    }
    servers = (each for found in objects.groups_by_name.values() for each in found.backend_servers)
    return parts | {("server", server.name): server for server in servers}


def test_cost_of_a_delta_depends_on_the_change():
    """Guards against deltas that contain, copy or iterate over unchanged objects."""
    steps = {}
    for services in (3, 10, 330):
        start = bundle.read(bundle.bundle(None, _object_set(services, 30), 1), "w")
        value = bundle.bundle(start, _drain(start.object_set, "s2"), 2)[_KEY_PREFIX + "delta/2"]
        after = bundle.verify_delta(start, value).object_set
        assert after.routes_by_name is start.object_set.routes_by_name
        before = _objects_by_key(start.object_set)
        new = {key for key, entry in _objects_by_key(after).items() if entry is not before[key]}
        assert new == {("groups", "s2"), ("server", "s2-0")}
        assert len(value) < 400
        steps[services] = _count_steps(functools.partial(bundle.verify_delta, start, value))
    # An iteration over all groups would take thousands of steps with 330 services.
    assert steps[330] <= steps[3] + 10
    assert steps[10] <= steps[3] + 10


def test_chain_of_versions_reaches_the_published_set():
    """Guards against digests, snapshots or heads from which a reader cannot get the version."""
    values: dict[str, bytes] = {}
    current, digest = None, bytes(32)
    for version in range(1, bundle.SNAPSHOT_INTERVAL + 4):
        objects = _object_set(3, 2, timeout_ms=version)
        values |= bundle.bundle(current, objects, version)
        digest = hashlib.sha256(digest + values[f"{_KEY_PREFIX}delta/{version}"]).digest()
        current = bundle.read(values, "w")
        assert (current.version, current.digest) == (version, digest.hex())
        assert current.object_set == objects
    snapshots = {key.split("/")[3] for key in values if "/snapshot/" in key}
    assert snapshots == {"1", str(bundle.SNAPSHOT_INTERVAL + 1)}


def test_snapshot_is_split_below_the_limit(monkeypatch):
    """Guards against parts that exceed the size limit, and parts joined in another order."""
    monkeypatch.setattr(bundle, "_MAX_PART_CONTENT_BYTES", 300)
    objects = _object_set(2, 2)
    values = bundle.bundle(None, objects, 1)
    parts = sorted(key for key in values if "/snapshot/" in key)
    assert len(parts) > 2
    assert bundle.read(values, "w").object_set == objects
    values[parts[0]], values[parts[1]] = values[parts[1]], values[parts[0]]
    with pytest.raises(errors.MismatchError, match="snapshot/1/1"):
        bundle.read(values, "w")


@pytest.fixture(scope="module")
def versions():
    """Returns versions 1 and 2 and the values that publish version 2."""
    first = bundle.read(bundle.bundle(None, _object_set(2, 2), 1), "w")
    values = bundle.bundle(first, _drain(first.object_set, "s1"), 2)
    head = bundle.verify_head(first, values[_KEY_PREFIX + "head"])
    return first, bundle.verify_deltas(first, [values[_KEY_PREFIX + "delta/2"]], head), values


def test_lower_versions_are_rejected(versions):
    """Guards against returning to an older version because the platform serves stale values."""
    first, second, values = versions
    with pytest.raises(errors.LowerVersionError):
        bundle.verify_head(second, values[_KEY_PREFIX + "head"])
    with pytest.raises(errors.LowerVersionError):
        bundle.verify_delta(second, values[_KEY_PREFIX + "delta/2"])
    start = published.empty("w")
    old = bundle.bundle(None, first.object_set, 1)
    head = bundle.verify_head(start, old[_KEY_PREFIX + "head"])
    with pytest.raises(errors.LowerVersionError):
        bundle.verify_snapshot(second, [old[_KEY_PREFIX + "snapshot/1/1"]], head)


def test_missing_parts_are_rejected(versions):
    """Guards against applying a version without one of its values."""
    first, _, values = versions
    head = bundle.verify_head(first, values[_KEY_PREFIX + "head"])
    with pytest.raises(errors.PartialVersionError, match="delta/2"):
        bundle.verify_deltas(first, [], head)
    with pytest.raises(errors.PartialVersionError, match="found 0 parts; expected 1"):
        bundle.verify_snapshot(published.empty("w"), [], head)
    with pytest.raises(errors.PartialVersionError, match="snapshot/1/1"):
        bundle.read(values, "w")


def test_deltas_of_another_chain_are_rejected(versions):
    """Guards against applying a delta whose base or digest is not that of the node."""
    first, second, values = versions
    head = bundle.verify_head(first, values[_KEY_PREFIX + "head"])
    value = values[_KEY_PREFIX + "delta/2"]
    with pytest.raises(errors.MismatchError, match="found base 1; expected 0"):
        bundle.verify_delta(published.empty("w"), value)
    with pytest.raises(errors.MismatchError, match="workspace 'w'; expected 'x'"):
        bundle.verify_delta(published.empty("x"), value)
    other = bundle.bundle(first, _drain(first.object_set, "s0"), 2)[_KEY_PREFIX + "delta/2"]
    with pytest.raises(errors.MismatchError, match="found digest"):
        bundle.verify_delta(first, other, head.digest)
    with pytest.raises(errors.MismatchError, match="with digest"):
        bundle.verify_deltas(first, [other], head)
    forked = head.model_copy(update={"digest": "0" * 64})
    with pytest.raises(errors.MismatchError, match="for version 2"):
        bundle.verify_head(second, forked.encode())


def test_contradicting_objects_are_rejected(versions):
    """Guards against applying a version that refers to objects that it removes."""
    first, _, _ = versions
    change = {"workspace": "w", "removed_policies": ["p"]}
    record = {"version": 2, "base": 1, "delta": change}
    with pytest.raises(errors.InvalidVersionError, match="service 's0': field policy: found 'p'"):
        bundle.verify_delta(first, json.dumps(record).encode())


@_PROPERTY_SETTINGS
@hypothesis.given(strategies.data())
def test_altered_values_are_rejected(versions, data):
    """Guards against altered values that are applied or raise another error than VersionError."""
    first, second, values = versions
    head = bundle.verify_head(first, values[_KEY_PREFIX + "head"])
    snapshot = bundle.bundle(None, second.object_set, 2)
    start_head = bundle.verify_head(published.empty("w"), snapshot[_KEY_PREFIX + "head"])
    for value, verify in (
        (values[_KEY_PREFIX + "delta/2"], lambda v: bundle.verify_delta(first, v, head.digest)),
        (
            snapshot[_KEY_PREFIX + "snapshot/2/1"],
            lambda v: bundle.verify_snapshot(published.empty("w"), [v], start_head),
        ),
    ):
        at = data.draw(strategies.integers(0, len(value) - 1))
        altered = data.draw(
            strategies.sampled_from(
                [value[:at], value[:at] + bytes([value[at] ^ 1]) + value[at + 1 :], value + b"x"]
            )
        )
        with pytest.raises(errors.VersionError):
            verify(altered)


def test_decompression_bomb_is_rejected(monkeypatch):
    """Guards against a small value that exhausts the memory of a node when it is decompressed."""
    monkeypatch.setattr("laburnumford_objects._packing.MAX_UNPACKED_BYTES", 2000)
    value = bundle.bundle(None, _object_set(20, 10), 1)[_KEY_PREFIX + "delta/1"]
    with pytest.raises(errors.CorruptVersionError, match="over 2000 bytes"):
        bundle.verify_delta(published.empty("w"), value)


def test_bundle_rejects_problems_and_wrong_versions(versions):
    """Guards against publishing a set with problems or a version out of order."""
    first, _, _ = versions
    objects = first.object_set
    with pytest.raises(errors.BundleError, match="field version: found 3; allowed: 2"):
        bundle.bundle(first, objects, 3)
    with pytest.raises(errors.BundleError, match="field version"):
        bundle.bundle(None, objects, 0)
    unrouted = objects.model_copy(update={"routes_by_name": {}})
    with pytest.raises(errors.BundleError) as caught:
        bundle.bundle(first, unrouted, 2)
    assert [entry.object for entry in caught.value.problems] == ["service 's0'", "service 's1'"]
