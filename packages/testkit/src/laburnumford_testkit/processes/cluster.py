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

_ADDRESSES_PER_SERVER = 5
_SEEDS = 3
PROXIED = frozenset({"backend", "peer", "control", "platform"})


class Cluster:
    """A platform, and per backend server a stand-in with a node beside it.

    The addresses of the deployment are replaced by free loopback addresses.
    Nodes, backend servers and proxies are named by the backend server.

    Args:
        objects: the deployment.
        folder: existing folder for logs, settings and run logs.
        seed: seed of all processes.
        services: names of the services to run; default all.
        backend_arguments_by_service: further arguments of the backend stand-ins.
        node_settings: further fields of the settings of each node.
        proxied: kinds of connections that pass a fault proxy in this process, of `PROXIED`:
            `backend` from a node to its server, `peer` and `control` to a node from others,
            `platform` from a node to the platform.
        node_command: module of the nodes and its first arguments.
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
        if proxied - PROXIED:
            unknown = ", ".join(sorted(proxied - PROXIED))
            raise errors.TestkitError(
                f"proxied has {unknown}; allowed: {', '.join(sorted(PROXIED))}"
            )
        self._folder = folder
        self._seed = seed
        self._generator = random.Random(seed)
        self._proxied = proxied
        self._node_command = tuple(node_command)
        self._arguments_by_service = dict(backend_arguments_by_service or {})
        self._node_settings = dict(node_settings or {})
        self._targets_by_proxy: dict[tuple[str, str], tuple[str, str]] = {}
        self._operator_address_by_name: dict[str, str] = {}
        self._listening_by_name: dict[str, backend_server.BackendServer] = {}
        self.proxies_by_name: dict[tuple[str, str], proxy_module.FaultProxy] = {}
        self.service_by_server: dict[str, str] = {}
        self.stops: list[planned_stop.PlannedStop] = []
        self.observations: list[versions.Observation] = []
        self.objects = self._place(_only(objects, services))
        self.platform_process = process_module.Process(
            name="platform", module="laburnumford_testkit.platform", folder=folder
        )
        self.backends_by_name: dict[str, process_module.Process] = {}
        self.nodes_by_name: dict[str, process_module.Process] = {}
        self._publisher: publisher.Publisher | None = None

    @property
    def servers_by_name(self) -> dict[str, backend_server.BackendServer]:
        """The published backend servers."""
        return {
            server.name: server
            for group in self.objects.groups_by_name.values()
            for server in group.backend_servers
        }

    @property
    def edge_addresses(self) -> tuple[str, ...]:
        """Addresses where the nodes take callers."""
        return tuple(server.edge_address for server in self._listening_by_name.values())

    @property
    def platform(self) -> platform_client.PlatformClient:
        """Client of the platform stand-in."""
        return platform_client.PlatformClient(url=f"http://127.0.0.1:{self.platform_process.port}")

    @property
    def publisher(self) -> publisher.Publisher:
        """Publishes to the platform stand-in."""
        if self._publisher is None:
            raise errors.TestkitError("the cluster has not been started")
        return self._publisher

    def backend(self, name: str) -> backend_client.BackendClient:
        """Returns the admin side of a backend server."""
        return backend_client.BackendClient(url=f"http://{self._listening_by_name[name].address}")

    def node(self, name: str) -> node_client.NodeClient:
        """Returns the operators' pages of the node beside a backend server."""
        return node_client.NodeClient(name=name, address=self._operator_address_by_name[name])

    def edge_address(self, name: str) -> str:
        """Returns the address where the node beside a backend server takes callers."""
        return self._listening_by_name[name].edge_address

    async def __aenter__(self) -> "Cluster":
        """Starts everything; nothing is left running if that fails."""
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends everything."""
        await self.close()

    async def start(self) -> None:
        """Starts platform and backend servers, publishes version 1 and starts the nodes."""
        await self.start_platform()
        await self.start_backends()
        await self.start_nodes()

    async def start_platform(self) -> None:
        """Starts the platform, publishes version 1 and the list of VMs."""
        await self.platform_process.start()
        for key, (target, address) in self._targets_by_proxy.items():
            host, _, port = address.rpartition(":")
            proxy = proxy_module.FaultProxy(
                target=target or f"127.0.0.1:{self.platform_process.port}",
                generator=self._generator,
                host=host,
                port=int(port),
                identify_source=self._node_at if self._is_identified(key[0]) else None,
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
        for index, (name, server) in enumerate(self._listening_by_name.items()):
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
        names = list(self._listening_by_name)
        for index, name in enumerate(names):
            path = self._folder / f"{name}.json"
            path.write_text(json.dumps(self._settings(name, index), indent=2), encoding="utf-8")
            self.nodes_by_name[name] = process_module.Process(
                name=f"node-{name}",
                module=self._node_command[0],
                arguments=[*self._node_command[1:], "--settings", str(path)],
                folder=self._folder,
                ready=r"node: ready",
            )
        await _start_all(self.nodes_by_name.values())

    async def publish(self, objects: object_set.ObjectSet) -> int:
        """Publishes a changed set with the addresses of this cluster; returns the version."""
        version = await self.publisher.publish(objects)
        self.objects = objects
        return version

    async def set_vm_states(self, state_by_name: Mapping[str, str]) -> None:
        """Replaces the list of VMs; servers that are not named are `live`."""
        await self.platform.set_vms(
            [
                {
                    "name": name,
                    "zone": server.zone,
                    "state": state_by_name.get(name, "live"),
                }
                for name, server in self._listening_by_name.items()
            ]
        )

    def partition(self, *sides: Sequence[str], one_way: bool = False) -> None:
        """Holds all bytes between nodes of different sides until `heal`.

        Needs `proxied` with `peer` and `control`. Connections stay open and
        deliver what was held once the partition heals, as TCP does.

        Args:
            sides: names of the backend servers on each side; servers that are not named
                reach all others.
            one_way: holds only bytes from a side to the sides named after it.
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
        """Ends the partition."""
        for proxy in self.proxies_by_name.values():
            proxy.clear_source_faults()

    def _is_identified(self, kind: str) -> bool:
        """Returns whether the proxy of a connection must know which node opened it.

        Only `partition` needs it. The search for the process takes milliseconds for each
        connection, which slows down a cluster that opens many.
        """
        return kind in ("peer", "control") and {"peer", "control"} <= self._proxied

    def _node_at(self, remote: tuple[str, int]) -> str | None:
        running = {
            name: process.pid for name, process in self.nodes_by_name.items() if process.running
        }
        return peers.owner(running, remote)

    async def stop_node(self, name: str, timeout_s: float = 30.0) -> planned_stop.PlannedStop:
        """Stops a node with SIGTERM and records the planned stop."""
        began = time.monotonic()
        status = await self.nodes_by_name[name].stop(timeout_s)
        stop = planned_stop.PlannedStop(
            server=name,
            began=began,
            ended=time.monotonic(),
            edge_address=self.edge_address(name),
            exit_status=status,
        )
        self.stops.append(stop)
        return stop

    async def observe_versions(self) -> tuple[versions.Observation, ...]:
        """Observes the version in force at each running node and records it."""
        running = [name for name, process in self.nodes_by_name.items() if process.running]
        found = await asyncio.gather(
            *(self.node(name).observe_version() for name in running), return_exceptions=True
        )
        seen = tuple(one for one in found if isinstance(one, versions.Observation))
        self.observations.extend(seen)
        return seen

    def runs(self) -> tuple[run_module.Run, ...]:
        """Returns the runs of all backend servers, also of killed ones."""
        return tuple(
            run
            for name in self._listening_by_name
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

    def _place(self, objects: object_set.ObjectSet) -> object_set.ObjectSet:
        """Returns the deployment with free loopback addresses."""
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
            self._listening_by_name[name] = placed
            self._operator_address_by_name[name] = next(free)
            through: dict[str, str] = {}
            for kind in sorted(self._proxied):
                target = {
                    "backend": placed.address,
                    "peer": placed.peer_address,
                    "control": placed.control_address,
                    "platform": "",
                }[kind]
                through[kind] = next(free)
                self._targets_by_proxy[kind, name] = (target, through[kind])
            published[name] = placed.model_copy(
                update={
                    f"{kind}_address": through[kind]
                    for kind in ("peer", "control")
                    if kind in through
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
        """Returns the settings of the node beside a backend server."""
        server = self._listening_by_name[name]
        others = [other for other in self.servers_by_name.values() if other.name != name]
        seeds = self._generator.sample(others, min(_SEEDS, len(others)))
        platform = self._targets_by_proxy.get(
            ("platform", name), ("", f"127.0.0.1:{self.platform_process.port}")
        )[1]
        backend = self._targets_by_proxy.get(("backend", name), ("", server.address))[1]
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


def _only(objects: object_set.ObjectSet, services: Sequence[str] | None) -> object_set.ObjectSet:
    """Returns the set reduced to some services and the objects that they use."""
    if services is None:
        return objects
    kept = {name: objects.services_by_name[name] for name in services}
    group_names = {service.group for service in kept.values()}
    routes = {
        name: route for name, route in objects.routes_by_name.items() if route.service in kept
    }
    used = {service.policy for service in kept.values()}
    used |= {route.policy for route in routes.values() if route.policy is not None}
    # Policies that extend others use them.
    bases = set(used)
    while bases:
        extended = {objects.policies_by_name[name].extends for name in bases}
        bases = {name for name in extended if name is not None} - used
        used |= bases
    return objects.model_copy(
        update={
            "services_by_name": kept,
            "groups_by_name": _selected(objects.groups_by_name, group_names),
            "routes_by_name": routes,
            "policies_by_name": _selected(objects.policies_by_name, used),
        }
    )


def _selected(objects_by_name: Mapping[str, Any], names: set[str]) -> dict[str, Any]:
    return {name: value for name, value in objects_by_name.items() if name in names}


async def _start_all(processes: Any) -> None:
    """Launches processes and waits until all are ready."""
    started = list(processes)
    for process in started:
        process.launch()
    for process in started:
        await process.wait_ready(timeout_s=30.0)


def log_tails(cluster: Cluster) -> str:
    """Returns the end of the output of each node, for the message of a failed test."""
    parts = []
    for name, process in cluster.nodes_by_name.items():
        with contextlib.suppress(OSError):
            parts.append(f"--- {name}\n{process.tail()}")
    return "\n".join(parts)
