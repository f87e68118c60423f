"""Real nodes of which one has all its neighbours, in a set of the target scale."""

import asyncio
import json
import pathlib
import time
from collections.abc import Awaitable, Callable, Iterator, Mapping

from laburnumford_fleet import overlay, readers
from laburnumford_fleet.bench import sets, synthetic
from laburnumford_objects import object_set
from laburnumford_testkit.bench import _measured
from laburnumford_testkit.platform import client as platform_client
from laburnumford_testkit.processes import addresses, node_client, process, publisher

_READY_S = 60.0
_ADDRESSES_PER_NODE = 5


async def measure(
    *, folder: pathlib.Path, settle_s: float, rest_s: float, changes: int
) -> _measured.Measured:
    """Measures one node in a set of 10,000 servers in 330 services.

    The nodes that the overlay gives it as neighbours run too, among them a reader of the
    platform. All other servers of the set have loopback addresses at which nothing listens.
    """
    objects = sets.large(servers=synthetic.SERVERS, services=synthetic.SERVICES)
    zones_by_name = {
        server.name: server.zone
        for group in objects.groups_by_name.values()
        for server in group.backend_servers
    }
    names = _names(zones_by_name)
    chosen = names[0]
    free = iter(addresses.free_addresses(_ADDRESSES_PER_NODE * len(names)))
    settings_by_name = {name: _settings(name, zones_by_name[name], free) for name in names}
    platform = process.Process(
        name="platform", module="laburnumford_testkit.platform", folder=folder
    )
    processes_by_name: dict[str, process.Process] = {}
    try:
        await platform.start()
        url = f"http://127.0.0.1:{platform.port}"
        client = platform_client.PlatformClient(url=url)
        publish = _publisher(objects, settings_by_name, client)
        await publish()
        await client.set_vms(
            [{"name": name, "zone": zone, "state": "live"} for name, zone in zones_by_name.items()]
        )
        for name, found in settings_by_name.items():
            path = folder / f"{name}.json"
            path.write_text(json.dumps({**found, "platform_url": url}), encoding="utf-8")
            processes_by_name[name] = process.Process(
                name=f"node-{name}",
                module="laburnumford_node",
                arguments=["--settings", str(path)],
                folder=folder,
                ready_pattern=r"node: ready",
            )
            processes_by_name[name].launch()
        for one in processes_by_name.values():
            await one.wait_ready(timeout_s=_READY_S)
        await asyncio.sleep(settle_s)
        return await _measured.measure(
            processes_by_name={chosen: processes_by_name[chosen]},
            clients_by_name={
                chosen: node_client.NodeClient(
                    name=chosen, address=settings_by_name[chosen]["operator_address"]
                )
            },
            publish=publish,
            rest_s=rest_s,
            changes=changes,
        )
    finally:
        for one in processes_by_name.values():
            one.kill()
        platform.kill()


def _names(zones_by_name: Mapping[str, str]) -> list[str]:
    """Returns a node that is no reader but has readers as neighbours, then its neighbours.

    Readers change with the epoch, so a neighbour reads in this epoch and one in the next.
    """
    zones = len(set(zones_by_name.values()))
    epoch = readers.epoch(wall_s=time.time())
    now, then = (
        readers.choose(names=zones_by_name, zones=zones, epoch_number=epoch + number)
        for number in (0, 1)
    )
    links = overlay.links(zones_by_name=zones_by_name)
    name = next(
        name
        for name in sorted(zones_by_name)
        if name not in now | then and links[name] & now and links[name] & then
    )
    return [name, *sorted(links[name])]


def _settings(name: str, zone: str, free: Iterator[str]) -> dict[str, str]:
    kinds = ("backend", "edge", "peer", "control", "operator")
    found = {f"{kind}_address": next(free) for kind in kinds}
    return {
        "name": name,
        "workspace": sets.WORKSPACE,
        "zone": zone,
        "backend_server": name,
        **found,
    }


def _publisher(
    objects: object_set.ObjectSet,
    settings_by_name: dict[str, dict[str, str]],
    client: platform_client.PlatformClient,
) -> Callable[[], Awaitable[int]]:
    """Returns a function that publishes the set, each time with one changed server."""
    made = publisher.Publisher(platform=client, workspace=sets.WORKSPACE)
    servers_by_name = {
        server.name: server
        for group in objects.groups_by_name.values()
        for server in group.backend_servers
    }
    kinds = ("edge_address", "peer_address", "control_address")
    placed = {
        name: servers_by_name[name].model_copy(
            update={"address": found["backend_address"], **{kind: found[kind] for kind in kinds}}
        )
        for name, found in settings_by_name.items()
    }
    changed_name = next(name for name in servers_by_name if name not in placed)

    async def publish() -> int:
        slots = 12 + made.version % 2
        changed = servers_by_name[changed_name].model_copy(update={"slots": slots})
        return await made.publish(
            sets.large(
                servers=synthetic.SERVERS,
                services=synthetic.SERVICES,
                placed_by_name={**placed, changed_name: changed},
            )
        )

    return publish
