"""Runs a deployment as real processes on loopback."""

import asyncio
import contextlib
import itertools
import json
import pathlib
import random
import time
from collections.abc import Mapping, Sequence
from typing import Any

from laburnumford_objects import backend_server, object_set
from laburnumford_testkit import errors
from laburnumford_testkit.backend import client as backend_client
from laburnumford_testkit.backend import run as run_module
from laburnumford_testkit.backend import run_log
from laburnumford_testkit.faultproxy import faults as faults_module
from laburnumford_testkit.faultproxy import proxy as proxy_module
from laburnumford_testkit.judge import planned_stop, versions
from laburnumford_testkit.platform import client as platform_client
from laburnumford_testkit.processes import addresses, node_client, peers, publisher
from laburnumford_testkit.processes import process as process_module

_ADDRESSES_PER_SERVER = 5  # backend server, edge, peer, control and operator
_MAX_CONTROL_SEEDS = 3
PROXYABLE_CONNECTIONS = frozenset({"backend", "peer", "control", "platform"})


class Cluster:
    """Runs a fake platform and, for each backend server, a fake server and its adjacent node.

    The addresses of the deployment are replaced by free loopback addresses. A node has the name of
    its backend server; a proxy has it in its key, after the kind of connection.

    Args:
        objects: the deployment.
        folder: existing folder for log files, settings and run logs.
        seed: seed from which the seeds of all processes are derived.
        services: names of the services to run; default all.
        backend_arguments_by_service: further command-line arguments of the fake backend servers.
        node_settings: further fields of the settings of each node.
        proxied: kinds of connections that pass a fault proxy in this process, out of
            `PROXYABLE_CONNECTIONS`: `backend` from a node to its server, `peer` and `control` from
            other nodes to a node, `platform` from a node to the platform.
        node_command: module that runs a node, and its first arguments.

    Attributes:
        proxies_by_name: fault proxies by kind of connection and name of the backend server.
        planned_stops: planned stops of nodes so far.
        observations: versions that nodes had in force when they were observed.
    """

    def __init__(
        self,
        *,
        objects: object_set.ObjectSet,
        folder: pathlib.Path,
        seed: int = 1,
        services: Sequence[str] | None = None,
        backend_arguments_by_service: Mapping[str, Sequence[str]] | None = None,
        node_settings: Mapping[str, Any] | None = None,
        proxied: frozenset[str] = frozenset(),
        node_command: Sequence[str] = ("laburnumford_node",),
    ) -> None:
        if proxied - PROXYABLE_CONNECTIONS:
            unknown = ", ".join(sorted(proxied - PROXYABLE_CONNECTIONS))
            raise errors.TestkitError(
                f"proxied has {unknown}; allowed: {', '.join(sorted(PROXYABLE_CONNECTIONS))}"
            )
        self._folder = folder
        self._seed = seed
        self._generator = random.Random(seed)
        self._proxied = proxied
        self._node_command = tuple(node_command)
        self._arguments_by_service = dict(backend_arguments_by_service or {})
        self._node_settings = dict(node_settings or {})
        # Target and address of each proxy, by kind of connection and name of the server. The target
        # is empty for the platform, whose port is known only after its start.
        self._target_and_address_by_proxy: dict[tuple[str, str], tuple[str, str]] = {}
        self._operator_address_by_name: dict[str, str] = {}
        self._listening_server_by_name: dict[str, backend_server.BackendServer] = {}
        self.proxies_by_name: dict[tuple[str, str], proxy_module.FaultProxy] = {}
        self.service_by_server: dict[str, str] = {}
        self.planned_stops: list[planned_stop.PlannedStop] = []
        self.observations: list[versions.Observation] = []
        self.objects = self._assign_addresses(_select_services(objects, services))
        self.platform_process = process_module.Process(
            name="platform", module="laburnumford_testkit.platform", folder=folder
        )
        self.backends_by_name: dict[str, process_module.Process] = {}
        self.nodes_by_name: dict[str, process_module.Process] = {}
        self._publisher: publisher.Publisher | None = None

    @property
    def servers_by_name(self) -> dict[str, backend_server.BackendServer]:
        """The published backend servers; peer and control addresses may be those of proxies."""
        return {
            server.name: server
            for group in self.objects.groups_by_name.values()
            for server in group.backend_servers
        }

    @property
    def edge_addresses(self) -> tuple[str, ...]:
        """Addresses on which the nodes accept connections of callers."""
        return tuple(server.edge_address for server in self._listening_server_by_name.values())

    @property
    def platform(self) -> platform_client.PlatformClient:
        """Client of the fake platform."""
        return platform_client.PlatformClient(url=f"http://127.0.0.1:{self.platform_process.port}")

    @property
    def publisher(self) -> publisher.Publisher:
        """Publisher of the versions of the workspace."""
        if self._publisher is None:
            raise errors.TestkitError("the cluster has not been started")
        return self._publisher

    def backend(self, name: str) -> backend_client.BackendClient:
        """Returns an admin client of a backend server."""
        return backend_client.BackendClient(
            url=f"http://{self._listening_server_by_name[name].address}"
        )

    def node(self, name: str) -> node_client.NodeClient:
        """Returns a client of the operators' pages of the adjacent node of a backend server."""
        return node_client.NodeClient(name=name, address=self._operator_address_by_name[name])

    def edge_address(self, name: str) -> str:
        """Returns the address on which the adjacent node of a server accepts callers."""
        return self._listening_server_by_name[name].edge_address

    async def __aenter__(self) -> "Cluster":
        """Starts all processes; if that fails, ends those that run already."""
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends all processes and proxies."""
        await self.close()

    async def start(self) -> None:
        """Starts the platform, publishes version 1, starts the backend servers and the nodes."""
        await self.start_platform()
        await self.start_backends()
        await self.start_nodes()

    async def start_platform(self) -> None:
        """Starts the platform and the proxies, publishes version 1 and the list of VMs."""
        await self.platform_process.start()
        for key, (target, address) in self._target_and_address_by_proxy.items():
            host, _, port = address.rpartition(":")
            proxy = proxy_module.FaultProxy(
                target=target or f"127.0.0.1:{self.platform_process.port}",
                generator=self._generator,
                host=host,
                port=int(port),
                identify_source=self._node_name_at if self._identifies_nodes(key[0]) else None,
            )
            await proxy.start()
            self.proxies_by_name[key] = proxy
        self._publisher = publisher.Publisher(
            platform=self.platform, workspace=self.objects.workspace
        )
        await self.publisher.publish(self.objects)
        await self.set_vm_states({})

    async def start_backends(self) -> None:
        """Starts all backend servers."""
        for index, (name, server) in enumerate(self._listening_server_by_name.items()):
            host, _, port = server.address.rpartition(":")
            self.backends_by_name[name] = process_module.Process(
                name=f"backend-{name}",
                module="laburnumford_testkit.backend",
                arguments=[
                    *("--name", name, "--host", host, "--port", port),
                    *("--slots", str(server.slots), "--connections", str(server.connections)),
                    *("--run-log", str(self._run_log_path(name))),
                    *("--edge-address", server.edge_address),
                    *("--seed", str(self._seed * 1000 + index)),
                    *self._arguments_by_service.get(self.service_by_server[name], ()),
                ],
                folder=self._folder,
            )
        await _start_all(self.backends_by_name.values())

    async def start_nodes(self) -> None:
        """Starts all nodes."""
        names = list(self._listening_server_by_name)
        for index, name in enumerate(names):
            path = self._folder / f"{name}.json"
            path.write_text(json.dumps(self._settings(name, index), indent=2), encoding="utf-8")
            self.nodes_by_name[name] = process_module.Process(
                name=f"node-{name}",
                module=self._node_command[0],
                arguments=[*self._node_command[1:], "--settings", str(path)],
                folder=self._folder,
                ready_pattern=r"node: ready",
            )
        await _start_all(self.nodes_by_name.values())

    async def publish(self, objects: object_set.ObjectSet) -> int:
        """Publishes changed objects with the addresses of this cluster; returns the version."""
        version = await self.publisher.publish(objects)
        self.objects = objects
        return version

    async def set_vm_states(self, state_by_name: Mapping[str, str]) -> None:
        """Replaces the list of VMs; the VMs of servers that are not named are `live`."""
        await self.platform.set_vms(
            [
                {
                    "name": name,
                    "zone": server.zone,
                    "state": state_by_name.get(name, "live"),
                }
                for name, server in self._listening_server_by_name.items()
            ]
        )

    def partition(self, *sides: Sequence[str], one_way: bool = False) -> None:
        """Stops the traffic between nodes of different sides until `heal`.

        Needs `proxied` with `peer` and `control`. Connections stay open and
        deliver the delayed bytes once the partition heals, as TCP does.

        Args:
            sides: names of the backend servers on each side; the nodes of servers that are not
                named reach all others.
            one_way: stops only the traffic from a side to the sides named after it.
        """
        if not {"peer", "control"} <= self._proxied:
            raise errors.TestkitError("partition needs proxied with peer and control")
        pause = faults_module.DirectionFaults(pause=True)
        for before, after in itertools.combinations(sides, 2):
            from_before = faults_module.Faults(to_target=pause)
            from_after = faults_module.Faults(to_caller=pause)
            if not one_way:
                from_before = from_after = faults_module.Faults(to_target=pause, to_caller=pause)
            for first, second in itertools.product(before, after):
                for kind in ("peer", "control"):
                    self.proxies_by_name[kind, second].set_faults(from_before, first)
                    self.proxies_by_name[kind, first].set_faults(from_after, second)

    def heal(self) -> None:
        """Ends all partitions."""
        for proxy in self.proxies_by_name.values():
            proxy.clear_source_faults()

    def _identifies_nodes(self, kind: str) -> bool:
        """Returns whether proxies of a kind of connection identify the node that opened it.

        Only `partition` needs this. The search for the process takes milliseconds per
        connection and so slows down a cluster that opens many connections.
        """
        return kind in ("peer", "control") and {"peer", "control"} <= self._proxied

    def _node_name_at(self, remote: tuple[str, int]) -> str | None:
        running = {
            name: process.pid for name, process in self.nodes_by_name.items() if process.running
        }
        return peers.process_name_at(running, remote)

    async def stop_node(self, name: str, timeout_s: float = 30.0) -> planned_stop.PlannedStop:
        """Stops a node with SIGTERM, waits until it has ended and records the planned stop."""
        began = time.monotonic()
        status = await self.nodes_by_name[name].stop(timeout_s)
        stop = planned_stop.PlannedStop(
            server=name,
            began=began,
            ended=time.monotonic(),
            edge_address=self.edge_address(name),
            exit_status=status,
        )
        self.planned_stops.append(stop)
        return stop

    async def observe_versions(self) -> tuple[versions.Observation, ...]:
        """Records and returns the version in force at each running node that answers."""
        running = [name for name, process in self.nodes_by_name.items() if process.running]
        found = await asyncio.gather(
            *(self.node(name).observe_version() for name in running), return_exceptions=True
        )
        seen = tuple(one for one in found if isinstance(one, versions.Observation))
        self.observations.extend(seen)
        return seen

    def runs(self) -> tuple[run_module.Run, ...]:
        """Returns the runs of all backend servers, also of those that were killed."""
        return tuple(
            run
            for name in self._listening_server_by_name
            for run in run_log.load(self._run_log_path(name))
        )

    async def close(self) -> None:
        """Kills all processes and closes the proxies."""
        for process in (
            *self.nodes_by_name.values(),
            *self.backends_by_name.values(),
            self.platform_process,
        ):
            process.kill()
        for proxy in self.proxies_by_name.values():
            await proxy.close()

    def _run_log_path(self, name: str) -> pathlib.Path:
        return self._folder / f"{name}.runs"

    def _assign_addresses(self, objects: object_set.ObjectSet) -> object_set.ObjectSet:
        """Assigns free loopback addresses and returns the deployment as it is published.

        The published addresses of proxied `peer` and `control` connections are those of the
        proxies. For `backend` and `platform`, they are in the settings of the nodes.
        """
        servers = {
            server.name: server
            for group in objects.groups_by_name.values()
            for server in group.backend_servers
        }
        for service in objects.services_by_name.values():
            for server in objects.groups_by_name[service.group].backend_servers:
                self.service_by_server.setdefault(server.name, service.name)
        count = (_ADDRESSES_PER_SERVER + len(self._proxied)) * len(servers)
        free = iter(addresses.free_addresses(count))
        published: dict[str, backend_server.BackendServer] = {}
        for name, server in servers.items():
            placed = server.model_copy(
                update={
                    "address": next(free),
                    "edge_address": next(free),
                    "peer_address": next(free),
                    "control_address": next(free),
                }
            )
            self._listening_server_by_name[name] = placed
            self._operator_address_by_name[name] = next(free)
            proxy_address_by_kind: dict[str, str] = {}
            for kind in sorted(self._proxied):
                target = {
                    "backend": placed.address,
                    "peer": placed.peer_address,
                    "control": placed.control_address,
                    "platform": "",
                }[kind]
                proxy_address_by_kind[kind] = next(free)
                self._target_and_address_by_proxy[kind, name] = (
                    target,
                    proxy_address_by_kind[kind],
                )
            published[name] = placed.model_copy(
                update={
                    f"{kind}_address": proxy_address_by_kind[kind]
                    for kind in ("peer", "control")
                    if kind in proxy_address_by_kind
                }
            )
        groups = {
            name: group.model_copy(
                update={
                    "backend_servers": tuple(
                        published[server.name] for server in group.backend_servers
                    )
                }
            )
            for name, group in objects.groups_by_name.items()
        }
        return objects.model_copy(update={"groups_by_name": groups})

    def _settings(self, name: str, index: int) -> dict[str, Any]:
        """Returns the settings of the adjacent node of a backend server."""
        server = self._listening_server_by_name[name]
        others = [other for other in self.servers_by_name.values() if other.name != name]
        seeds = self._generator.sample(others, min(_MAX_CONTROL_SEEDS, len(others)))
        platform = self._target_and_address_by_proxy.get(
            ("platform", name), ("", f"127.0.0.1:{self.platform_process.port}")
        )[1]
        backend = self._target_and_address_by_proxy.get(("backend", name), ("", server.address))[1]
        return {
            "name": name,
            "workspace": self.objects.workspace,
            "zone": server.zone,
            "backend_server": name,
            "backend_address": backend,
            "edge_address": server.edge_address,
            "peer_address": server.peer_address,
            "control_address": server.control_address,
            "operator_address": self._operator_address_by_name[name],
            "platform_url": f"http://{platform}",
            "control_seeds": [seed.control_address for seed in seeds],
            "seed": self._seed * 1000 + index,
            **self._node_settings,
        }


def _select_services(
    objects: object_set.ObjectSet, services: Sequence[str] | None
) -> object_set.ObjectSet:
    """Returns the objects of some services and the objects that these use."""
    if services is None:
        return objects
    kept = {name: objects.services_by_name[name] for name in services}
    group_names = {service.group for service in kept.values()}
    routes = {
        name: route for name, route in objects.routes_by_name.items() if route.service in kept
    }
    used = {service.policy for service in kept.values()}
    used |= {route.policy for route in routes.values() if route.policy is not None}
    # A policy uses the policies that it extends.
    bases = set(used)
    while bases:
        extended = {objects.policies_by_name[name].extends for name in bases}
        bases = {name for name in extended if name is not None} - used
        used |= bases
    return objects.model_copy(
        update={
            "services_by_name": kept,
            "groups_by_name": _select_names(objects.groups_by_name, group_names),
            "routes_by_name": routes,
            "policies_by_name": _select_names(objects.policies_by_name, used),
        }
    )


def _select_names(objects_by_name: Mapping[str, Any], names: set[str]) -> dict[str, Any]:
    return {name: value for name, value in objects_by_name.items() if name in names}


async def _start_all(processes: Any) -> None:
    """Starts processes at the same time and waits until all are ready."""
    started = list(processes)
    for process in started:
        process.launch()
    for process in started:
        await process.wait_ready(timeout_s=30.0)


def log_tails(cluster: Cluster) -> str:
    """Returns the end of the output of each node, for the message of a failed assertion."""
    parts = []
    for name, process in cluster.nodes_by_name.items():
        with contextlib.suppress(OSError):
            parts.append(f"--- {name}\n{process.output_tail()}")
    return "\n".join(parts)
