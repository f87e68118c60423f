"""Benchmark of the package: ``python -m laburnumford_objects.bench``.

Writes one JSON object per line: name, value, unit, seed and samples. The value is the lowest of
the samples, because other processes only add to a time.
"""

import argparse
import functools
import gc
import json
import sys
import timeit
from collections.abc import Callable

from laburnumford_objects import (
    backend_server,
    bundle,
    group,
    object_set,
    policy,
    route,
    routing,
    service,
    zone,
)

_SERVERS = 30
_MATCHES = 500
_VERIFICATIONS = 5


def main() -> None:
    """Measures route lookups and the verification of a delta."""
    parser = argparse.ArgumentParser(description="Measures the package laburnumford_objects.")
    parser.add_argument("--samples", type=int, default=40)
    samples = parser.parse_args().samples
    routes = {
        f"r{index}": route.Route(
            name=f"r{index}", service="s", path_prefix=f"/v1/area{index % 20}/r{index}"
        )
        for index in range(330)
    }
    table = routing.RouteTable(
        object_set=object_set.ObjectSet(workspace="w", routes_by_name=routes)
    )
    paths = {"known": "/v1/area7/r7/bars/12345?x=1", "long": "/" + "a/" * 8000}
    for name, path in paths.items():
        lookup = functools.partial(table.match, "GET", "h", path)
        _report(f"route lookup, {name} path, 330 routes", lookup, _MATCHES, samples)
    for services in (3, 330):
        before = _objects(services, draining=False)
        start = bundle.read(bundle.bundle(None, before, 1), "w")
        changed = {**before.groups_by_name, "s2": _group(2, draining=True)}
        after = before.model_copy(update={"groups_by_name": changed})
        value = bundle.bundle(start, after, 2)[bundle.key_prefix("w") + "delta/2"]
        verify = functools.partial(bundle.verify_delta, start, value)
        _report(f"delta of one server, {services} services", verify, _VERIFICATIONS, samples)


def _report(name: str, action: Callable[[], object], number: int, samples: int) -> None:
    gc.collect()
    seconds = min(timeit.repeat(action, number=number, repeat=samples)) / number
    # Nothing here is random, so there is no seed.
    figure = {"name": name, "value": round(seconds * 1e6, 3), "unit": "us"}
    sys.stdout.write(json.dumps({**figure, "seed": None, "samples": samples}) + "\n")


def _objects(services: int, *, draining: bool) -> object_set.ObjectSet:
    names = [f"s{index}" for index in range(services)]
    return object_set.ObjectSet(
        workspace="w",
        zones_by_name={"z": zone.Zone(name="z", region="r")},
        policies_by_name={"p": policy.Policy(name="p")},
        services_by_name={n: service.Service(name=n, group=n, policy="p") for n in names},
        routes_by_name={n: route.Route(name=n, service=n, path_prefix=f"/{n}") for n in names},
        groups_by_name={
            name: _group(index, draining=draining) for index, name in enumerate(names)
        },
    )


def _group(index: int, *, draining: bool) -> group.Group:
    """Returns a group whose first server drains or not."""
    servers = []
    for number in range(_SERVERS):
        unique = index * _SERVERS + number
        host = f"10.{unique // 65536}.{unique // 256 % 256}.{unique % 256}"
        servers.append(
            backend_server.BackendServer(
                name=f"s{index}-{number:02}",
                address=f"{host}:8080",
                edge_address=f"{host}:8000",
                peer_address=f"{host}:8001",
                control_address=f"{host}:8002",
                zone="z",
                slots=12,
                draining=draining and number == 0,
            )
        )
    return group.Group(name=f"s{index}", backend_servers=tuple(servers))


if __name__ == "__main__":
    main()
