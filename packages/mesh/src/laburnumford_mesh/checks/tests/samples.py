"""Configurations for the tests of the checks."""

import dataclasses

from laburnumford_mesh import configuration, limits, route, weighted_service

ROUTE = route.Route(
    name="r",
    host="h.example",
    prefix="/a/",
    services=(weighted_service.WeightedService("s", 1.0),),
    idempotent=True,
    timeout_s=0.8,
    target_latency_s=0.3,
    max_attempts=2,
    priority=1,
)
LIMITS = limits.Limits(
    header_bytes=16384, body_bytes=64 * 1024 * 1024, header_timeout_s=3.0, idle_timeout_s=15.0
)


def make_configuration(*routes, version=7, health_path="/health", connections=10, **limit_values):
    """Returns a configuration without findings, or with one that the arguments cause."""
    return configuration.Configuration(
        version=version,
        routes=routes or (ROUTE,),
        health_path_by_service={"s": health_path},
        max_connections_by_service={"s": connections},
        limits=dataclasses.replace(LIMITS, **limit_values),
    )
