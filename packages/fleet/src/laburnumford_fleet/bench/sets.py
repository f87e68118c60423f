"""Synthetic object sets for tests and benchmarks."""

from collections.abc import Mapping, Sequence

from laburnumford_objects import (
    backend_server,
    group,
    node_settings,
    object_set,
    policy,
    route,
    service,
    zone,
)

WORKSPACE = "bench"
_ZONE_COUNT = 12
_REGION_COUNT = 4


def _host(index: int) -> str:
    """Returns a loopback address, so that connections to it stay on this machine."""
    return f"127.{200 + (index >> 16)}.{index >> 8 & 255}.{index & 255}"


def zones(count: int) -> dict[str, zone.Zone]:
    """Returns zones by name, distributed over up to four regions."""
    return {
        f"zone-{index}": zone.Zone(name=f"zone-{index}", region=f"region-{index % _REGION_COUNT}")
        for index in range(count)
    }


def server(
    *, index: int, zone_name: str, control_address: str, draining: bool = False, slots: int = 12
) -> backend_server.BackendServer:
    """Returns one backend server, of which only the control address is used."""
    host = _host(index)
    return backend_server.BackendServer(
        name=f"server-{index}",
        address=f"{host}:8080",
        edge_address=f"{host}:8081",
        peer_address=f"{host}:8082",
        control_address=control_address,
        zone=zone_name,
        slots=slots,
        draining=draining,
    )


def small(
    ports: Sequence[int], *, zone_count: int = 3, timeout_ms: int = 1000
) -> object_set.ObjectSet:
    """Returns an object set of one service with a server for each control port on loopback."""
    names = sorted(zones(zone_count))
    servers = tuple(
        server(
            index=index,
            zone_name=names[index % zone_count],
            control_address=f"127.0.0.1:{port}",
        )
        for index, port in enumerate(ports)
    )
    return _with_groups({"group-0": servers}, zone_count, timeout_ms)


def large(
    *,
    servers: int,
    services: int,
    timeout_ms: int = 1000,
    placed_by_name: Mapping[str, backend_server.BackendServer] | None = None,
) -> object_set.ObjectSet:
    """Returns an object set of the target scale.

    Args:
        servers: number of backend servers.
        services: number of services.
        timeout_ms: timeout of the policy of all services.
        placed_by_name: servers that replace the generated ones of the same name.
    """
    placed = placed_by_name or {}
    names = sorted(zones(_ZONE_COUNT))
    by_group: dict[str, list[backend_server.BackendServer]] = {}
    for index in range(servers):
        host = _host(index)
        generated = server(
            index=index, zone_name=names[index % _ZONE_COUNT], control_address=f"{host}:8083"
        )
        by_group.setdefault(f"group-{index % services}", []).append(
            placed.get(generated.name, generated)
        )
    return _with_groups(
        {name: tuple(found) for name, found in by_group.items()}, _ZONE_COUNT, timeout_ms
    )


def settings(
    *,
    index: int,
    port: int,
    platform_url: str,
    seeds: Sequence[int] = (),
    zone_name: str = "zone-0",
) -> node_settings.NodeSettings:
    """Returns the settings of the node of a server."""
    return node_settings.NodeSettings(
        name=f"node-{index}",
        workspace=WORKSPACE,
        zone=zone_name,
        backend_server=f"server-{index}",
        backend_address="127.0.0.1:8080",
        edge_address="127.0.0.1:8081",
        peer_address="127.0.0.1:8082",
        control_address=f"127.0.0.1:{port}",
        operator_address="127.0.0.1:8084",
        platform_url=platform_url,
        control_seeds=tuple(f"127.0.0.1:{seed}" for seed in seeds),
    )


def _with_groups(
    servers_by_group: dict[str, tuple[backend_server.BackendServer, ...]],
    zone_count: int,
    timeout_ms: int,
) -> object_set.ObjectSet:
    suffixes = [name.removeprefix("group-") for name in servers_by_group]
    return object_set.ObjectSet(
        workspace=WORKSPACE,
        zones_by_name=zones(zone_count),
        policies_by_name={"lookup": policy.Policy(name="lookup", timeout_ms=timeout_ms)},
        groups_by_name={
            name: group.Group(name=name, backend_servers=servers)
            for name, servers in servers_by_group.items()
        },
        services_by_name={
            f"service-{suffix}": service.Service(
                name=f"service-{suffix}", group=f"group-{suffix}", policy="lookup"
            )
            for suffix in suffixes
        },
        routes_by_name={
            f"route-{suffix}": route.Route(
                name=f"route-{suffix}", service=f"service-{suffix}", path_prefix=f"/s{suffix}"
            )
            for suffix in suffixes
        },
    )
