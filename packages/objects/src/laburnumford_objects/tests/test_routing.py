"""Tests of the lookup of the route and the policy of a request."""

from typing import Any

import hypothesis
import pytest
from hypothesis import strategies

from laburnumford_objects import errors, measuring, object_set, policy, route, routing, service


def _object_set(routes, policies=()):
    return object_set.ObjectSet(
        workspace="w",
        routes_by_name={entry.name: entry for entry in routes},
        services_by_name={"s": service.Service(name="s", group="g", policy="base")},
        policies_by_name={entry.name: entry for entry in policies},
    )


def _route(name, path_prefix, **fields):
    return route.Route(name=name, service="s", path_prefix=path_prefix, **fields)


_ROUTES = (
    _route("root", "/"),
    _route("bars", "/bars"),
    _route("bars-get", "/bars", methods=("GET",)),
    _route("bars-host", "/bars", host="lab.example"),
    _route("bars-v1", "/bars/v1"),
)


@pytest.mark.parametrize(
    ("method", "host", "path", "expected"),
    [
        ("POST", "", "/", "root"),
        ("POST", "", "/other", "root"),
        ("POST", "", "/barss", "root"),
        ("POST", "", "/bars", "bars"),
        ("POST", "", "/bars/?q=/bars/v1", "bars"),
        ("GET", "", "/bars/2", "bars-get"),
        ("POST", "LAB.example:8000", "/bars/2", "bars-host"),
        ("GET", "lab.example", "/bars/v1/x", "bars-v1"),
        ("GET", "[::1]:8000", "/bars/v12", "bars-get"),
        ("OPTIONS", "", "*", None),
    ],
)
def test_longest_prefix_wins(method, host, path, expected):
    """Guards against routing by a shorter prefix, or by a prefix that ends inside a segment."""
    found = routing.RouteTable(object_set=_object_set(_ROUTES)).match(method, host, path)
    assert (found.name if found else None) == expected


_SEGMENTS = strategies.lists(strategies.sampled_from(["a", "b", "ab", "a-b"]), max_size=4)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.lists(_SEGMENTS, max_size=6), _SEGMENTS, strategies.booleans())
def test_lookup_agrees_with_a_scan_of_all_routes(prefixes, path, slash):
    """Guards against missing a route because the path is cut to the longest prefix."""
    routes = [_route(f"r{i}", "/" + "/".join(prefix)) for i, prefix in enumerate(prefixes)]
    matching = [prefix for prefix in prefixes if path[: len(prefix)] == prefix]
    table = routing.RouteTable(object_set=_object_set(routes))
    found = table.match("GET", "host", "/" + "/".join(path) + ("/" if slash and path else ""))
    longest = max(matching, key=len, default=None)
    assert (found.path_prefix if found else None) == (
        None if longest is None else "/" + "/".join(longest)
    )


class _RecordingTable(dict[str, Any]):
    """Records the prefixes that are looked up."""

    def __init__(self, entries):
        super().__init__(entries)
        self.looked_up = []

    def get(self, key, default=None):
        self.looked_up.append(key)
        return super().get(key, default)


class _SliceOnlyPath(str):
    """A path that must be sliced first: methods that process its whole length raise an error."""

    __slots__ = ()

    def _refuse(self, *_):
        raise AssertionError("the whole path was processed")

    split = rsplit = partition = rpartition = find = rfind = count = replace = _refuse
    index = rindex = strip = rstrip = lower = encode = __iter__ = __contains__ = _refuse


@pytest.mark.parametrize("path", ["/v1/area7/r7/bars/12345?x=1", "/" + "a/" * 8000])
def test_lookup_cost_depends_on_neither_routes_nor_path(path):
    """Guards against a lookup whose cost grows with the number of routes or the path length."""
    looked_up = {}
    for count in (20, 330):
        routes = [_route(f"r{i:03}", f"/v1/area{i % 20}/r{i:03}") for i in range(count)]
        table = routing.RouteTable(object_set=_object_set(routes))
        recording = _RecordingTable(table._tables_by_host[None])
        table._tables_by_host[None] = recording
        table.match("GET", "h", _SliceOnlyPath(path))
        looked_up[count] = recording.looked_up
    assert looked_up[330] == looked_up[20]
    assert 0 < len(looked_up[330]) <= 4  # one for each of three segments, and the root
    assert max(map(len, looked_up[330])) <= len("/v1/area19/r329") + 1


_POLICIES = (
    policy.Policy(
        name="base", timeout_ms=7, hedge=True, measuring=measuring.MeasuringLimits(calls_per_s=1.0)
    ),
    policy.Policy(
        name="child",
        extends="base",
        hedge=False,
        measuring=measuring.MeasuringLimits(bytes_per_s=2.0),
    ),
    policy.Policy(name="loop", extends="loop"),
    policy.Policy(name="lost", extends="unknown"),
)


def test_policy_overrides_only_what_it_sets():
    """Guards against default values of a policy that override the policy that it extends."""
    objects = _object_set([_route("r", "/", policy="child"), _route("t", "/t")], _POLICIES)
    found = objects.policy_for(objects.routes_by_name["r"])
    assert (found.name, found.timeout_ms, found.hedge) == ("child", 7, False)
    assert (found.measuring.calls_per_s, found.measuring.bytes_per_s) == (1.0, 2.0)
    assert objects.policy_for(objects.routes_by_name["t"]).hedge is True


def test_policy_is_cached_per_set():
    """Guards against resolving a policy for each request, and copies that keep an old policy."""
    objects = _object_set([_route("r", "/")], _POLICIES)
    entry = objects.routes_by_name["r"]
    assert objects.policy_for(entry) is objects.policy_for(entry)
    changed = {**objects.policies_by_name, "base": policy.Policy(name="base", timeout_ms=8)}
    copy = objects.model_copy(update={"policies_by_name": changed})
    assert copy.policy_for(entry).timeout_ms == 8
    assert objects == _object_set([_route("r", "/")], _POLICIES)


@pytest.mark.parametrize("name", ["loop", "lost", "unknown"])
def test_unresolvable_policy_raises(name):
    """Guards against an endless loop in a cycle, and a default in place of a missing policy."""
    objects = _object_set([_route("r", "/", policy=name)], _POLICIES)
    with pytest.raises(errors.PolicyError, match=repr(name)):
        objects.policy_for(objects.routes_by_name["r"])
