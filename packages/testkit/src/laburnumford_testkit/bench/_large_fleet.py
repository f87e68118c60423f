"""Measures one real node with all its neighbours in an object set of the target scale."""

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

_READY_TIMEOUT_S = 60.0
_ADDRESSES_PER_NODE = 5


async def measure(
    *, folder: pathlib.Path, settle_s: float, idle_s: float, changes: int
) -> _measured.NodeCosts:
    """Measures one node in an object set of 10,000 servers in 330 services.

    Its neighbours in the overlay run as real nodes too, among them a reader of the platform. All
    other servers of the set have loopback addresses at which nothing listens.

    Args:
        folder: existing folder for settings and logs.
        settle_s: seconds from the readiness of all nodes to the first measurement.
        idle_s: length in seconds of the measurement without changes.
        changes: number of versions to publish.
    """
    objects = sets.large(servers=synthetic.SERVERS, services=synthetic.SERVICES)
    zones_by_name = {
        server.name: server.zone
        for group in objects.groups_by_name.values()
        for server in group.backend_servers
    }
    names = _measured_name_and_neighbours(zones_by_name)
    measured_name = names[0]
    free_addresses = iter(addresses.free_addresses(_ADDRESSES_PER_NODE * len(names)))
    settings_by_name = {
        name: _node_settings(name, zones_by_name[name], free_addresses) for name in names
    }
    platform = process.Process(
        name="platform", module="laburnumford_testkit.platform", folder=folder
    )
    processes_by_name: dict[str, process.Process] = {}
    try:
        await platform.start()
        url = f"http://127.0.0.1:{platform.port}"
        client = platform_client.PlatformClient(url=url)
        publish = _publish_function(objects, settings_by_name, client)
        await publish()
        await client.set_vms(
            [{"name": name, "zone": zone, "state": "live"} for name, zone in zones_by_name.items()]
        )
        for name, settings in settings_by_name.items():
            path = folder / f"{name}.json"
            path.write_text(json.dumps({**settings, "platform_url": url}), encoding="utf-8")
            processes_by_name[name] = process.Process(
                name=f"node-{name}",
                module="laburnumford_node",
                arguments=["--settings", str(path)],
                folder=folder,
                ready_pattern=r"node: ready",
            )
            processes_by_name[name].launch()
        for node_process in processes_by_name.values():
            await node_process.wait_ready(timeout_s=_READY_TIMEOUT_S)
        await asyncio.sleep(settle_s)
        return await _measured.measure(
            processes_by_name={measured_name: processes_by_name[measured_name]},
            clients_by_name={
                measured_name: node_client.NodeClient(
                    name=measured_name, address=settings_by_name[measured_name]["operator_address"]
                )
            },
            publish=publish,
            idle_s=idle_s,
            changes=changes,
        )
    finally:
        for node_process in processes_by_name.values():
            node_process.kill()
        platform.kill()


def _measured_name_and_neighbours(zones_by_name: Mapping[str, str]) -> list[str]:
    """Returns the name of the node to measure, followed by the names of its neighbours.

    Readers change with each epoch. The node is not a reader in this epoch or the next, and has
    a reader among its neighbours in both.
    """
    zones = len(set(zones_by_name.values()))
    epoch = readers.epoch(wall_s=time.time())
    current_readers, next_readers = (
        readers.choose(names=zones_by_name, zones=zones, epoch_number=epoch + number)
        for number in (0, 1)
    )
    links = overlay.links(zones_by_name=zones_by_name)
    name = next(
        name
        for name in sorted(zones_by_name)
        if name not in current_readers | next_readers
        and links[name] & current_readers
        and links[name] & next_readers
    )
    return [name, *sorted(links[name])]


def _node_settings(name: str, zone: str, free_addresses: Iterator[str]) -> dict[str, str]:
    kinds = ("backend", "edge", "peer", "control", "operator")
    addresses_by_field = {f"{kind}_address": next(free_addresses) for kind in kinds}
    return {
        "name": name,
        "workspace": sets.WORKSPACE,
        "zone": zone,
        "backend_server": name,
        **addresses_by_field,
    }


def _publish_function(
    objects: object_set.ObjectSet,
    settings_by_name: dict[str, dict[str, str]],
    client: platform_client.PlatformClient,
) -> Callable[[], Awaitable[int]]:
    """Returns a function that publishes the object set; each call changes the slots of a server."""
    version_publisher = publisher.Publisher(platform=client, workspace=sets.WORKSPACE)
    servers_by_name = {
        server.name: server
        for group in objects.groups_by_name.values()
        for server in group.backend_servers
    }
    address_fields = ("edge_address", "peer_address", "control_address")
    running_by_name = {
        name: servers_by_name[name].model_copy(
            update={
                "address": settings["backend_address"],
                **{field: settings[field] for field in address_fields},
            }
        )
        for name, settings in settings_by_name.items()
    }
    changed_name = next(name for name in servers_by_name if name not in running_by_name)

    async def publish() -> int:
        slots = 12 + version_publisher.version % 2
        changed = servers_by_name[changed_name].model_copy(update={"slots": slots})
        return await version_publisher.publish(
            sets.large(
                servers=synthetic.SERVERS,
                services=synthetic.SERVICES,
                placed_by_name={**running_by_name, changed_name: changed},
            )
        )

    return publish
