"""Tests of the route lookup."""

import pytest

from laburnumford_mesh import configuration, limits, route, weighted_service


@pytest.fixture
def routes():
    """Returns a configuration with nested path prefixes."""

    def make(host, prefix):
        return route.Route(
            name=f"{host}{prefix}",
            host=host,
            prefix=prefix,
            services=(weighted_service.WeightedService("s", 1.0),),
            idempotent=True,
            timeout_s=1.0,
            target_latency_s=0.3,
            max_attempts=1,
            priority=0,
        )

    return configuration.Configuration(
        version=1,
        routes=[make("h", "/a/"), make("h", "/a/b/"), make("g", "/")],
        health_path_by_service={},
        max_connections_by_service={},
        limits=limits.Limits(),
    )


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h", "/a/x", "h/a/"),
        ("H", "/a/x", "h/a/"),
        ("h", "/a/b/x/y", "h/a/b/"),
        ("h", "/a/b", "h/a/"),
        ("h", "/a", None),
        ("h", "/ab/", None),
        ("g", "/a/b/c", "g/"),
        ("x", "/a/", None),
        ("h", "", None),
    ],
)
def test_longest_prefix_wins(routes, host, path, name):
    """Guards against requests that are sent to the service of another route."""
    found = routes.find_route(host, path)
    assert (None if found is None else found.name) == name
