"""Measures the package: ``python -m laburnumford_objects.bench``.

Writes one JSON object per line: name, value, unit, seed and samples. The value is the lowest of
the samples, because other processes can only make a run slower.
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

_SERVERS_PER_GROUP = 30
_LOOKUPS_PER_SAMPLE = 500
_VERIFICATIONS_PER_SAMPLE = 5


def main() -> None:
    """Measures route lookups and the verification of a delta, and writes the results."""
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
        _report(f"route lookup, {name} path, 330 routes", lookup, _LOOKUPS_PER_SAMPLE, samples)
    for services in (3, 330):
        before = _object_set(services, draining=False)
        start = bundle.read(bundle.bundle(None, before, 1), "w")
        changed = {**before.groups_by_name, "s2": _group(2, draining=True)}
        after = before.model_copy(update={"groups_by_name": changed})
        value = bundle.bundle(start, after, 2)[bundle.key_prefix("w") + "delta/2"]
        verify = functools.partial(bundle.verify_delta, start, value)
        _report(
            f"delta of one server, {services} services", verify, _VERIFICATIONS_PER_SAMPLE, samples
        )


def _report(name: str, action: Callable[[], object], number: int, samples: int) -> None:
    gc.collect()
    seconds = min(timeit.repeat(action, number=number, repeat=samples)) / number
    # The measurement uses no random numbers, so there is no seed.
    result = {"name": name, "value": round(seconds * 1e6, 3), "unit": "us"}
    sys.stdout.write(json.dumps({**result, "seed": None, "samples": samples}) + "\n")


def _object_set(services: int, *, draining: bool) -> object_set.ObjectSet:
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
    """Returns a group whose first server is draining if `draining` is true."""
    servers = []
    for number in range(_SERVERS_PER_GROUP):
        host_number = index * _SERVERS_PER_GROUP + number
        host = f"10.{host_number // 65536}.{host_number // 256 % 256}.{host_number % 256}"
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
