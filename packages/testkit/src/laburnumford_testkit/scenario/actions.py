"""Actions of scenarios: faults and changes."""

import abc
import asyncio
import dataclasses
import time
from typing import ClassVar

from laburnumford_objects import bundle, registry
from laburnumford_testkit import errors
from laburnumford_testkit.backend import fault as backend_fault
from laburnumford_testkit.faultproxy import faults as network
from laburnumford_testkit.judge import leave
from laburnumford_testkit.platform import mode
from laburnumford_testkit.processes import cluster as cluster_module
from laburnumford_testkit.scenario import event as event_module

_LEAVE_ALLOWANCE_S = 3.0  # P5 allows new work for this time after a server begins to leave

PROXIED_BY_ACTION = {
    "partition": frozenset({"peer", "control"}),
    "delay": frozenset({"peer"}),
    "duplicate": frozenset({"peer"}),
}
"""Kinds of connections that must pass a fault proxy, by action; none for the other actions."""

Cluster = cluster_module.Cluster
Event = event_module.Event


class Action(abc.ABC):
    """A fault or change that a line `at ...` of a scenario requests.

    Attributes:
        blocks_propagation: whether nodes may fail to learn of a new version until the fault ends.
        leaves: servers that began to leave, with the time of each.

    Args:
        cluster: the running processes.
        event: time and parameters of the action.
    """

    blocks_propagation: ClassVar[bool] = False

    def __init__(self, *, cluster: Cluster, event: Event) -> None:
        self._cluster = cluster
        self._event = event
        self.leaves: list[leave.Leave] = []

    @abc.abstractmethod
    async def begin(self) -> None:
        """Starts the fault or makes the change."""

    async def end(self) -> None:
        """Ends the fault; does nothing for a permanent change."""
        return


actions: registry.Registry[Action] = registry.Registry("action")


class _ServerFault(Action):
    """A fault of fake backend servers."""

    kind: ClassVar[backend_fault.FaultKind]

    async def begin(self) -> None:
        """Sets the fault."""
        fault = backend_fault.Fault(
            kind=self.kind,
            share=self._event.share,
            factor=self._event.magnitude,
            delay_s=self._event.magnitude,
        )
        for name in self._event.target_names:
            await self._cluster.backend(name).set_fault(fault)

    async def end(self) -> None:
        """Removes the fault."""
        for name in self._event.target_names:
            await self._cluster.backend(name).set_fault(backend_fault.Fault())


@actions.register("slow")
class Slow(_ServerFault):
    """Multiplies the service time of servers."""

    kind = backend_fault.FaultKind.SLOW


@actions.register("refuse")
class Refuse(_ServerFault):
    """Makes servers refuse requests."""

    kind = backend_fault.FaultKind.REFUSE


@actions.register("late")
class Late(_ServerFault):
    """Makes servers delay their answers."""

    kind = backend_fault.FaultKind.LATE


@actions.register("truncate")
class Truncate(_ServerFault):
    """Makes servers send half of an answer and close the connection."""

    kind = backend_fault.FaultKind.TRUNCATE


@actions.register("close_")
class Close(_ServerFault):
    """Makes servers run requests and close the connection without an answer."""

    kind = backend_fault.FaultKind.CLOSE


@actions.register("stall")
class Stall(_ServerFault):
    """Makes servers run requests without an answer until the fault ends."""

    kind = backend_fault.FaultKind.STALL


@actions.register("drain")
class Drain(Action):
    """Makes servers report that they drain."""

    async def begin(self) -> None:
        """Makes the servers drain and records the time."""
        for name in self._event.target_names:
            self.leaves.append(
                leave.Leave(server=name, began=time.monotonic(), allowance_s=_LEAVE_ALLOWANCE_S)
            )
            await self._cluster.backend(name).set_draining(True)

    async def end(self) -> None:
        """Ends the drain and records the time."""
        now = time.monotonic()
        self.leaves = [dataclasses.replace(one, until=now) for one in self.leaves]
        for name in self._event.target_names:
            await self._cluster.backend(name).set_draining(False)


@actions.register("pause_server")
class PauseServer(Action):
    """Pauses the processes of servers and resumes them."""

    async def begin(self) -> None:
        """Pauses the servers."""
        for name in self._event.target_names:
            self._cluster.backends_by_name[name].pause()

    async def end(self) -> None:
        """Resumes the servers."""
        for name in self._event.target_names:
            self._cluster.backends_by_name[name].resume()


@actions.register("pause_node")
class PauseNode(Action):
    """Pauses the processes of nodes and resumes them."""

    blocks_propagation = True

    async def begin(self) -> None:
        """Pauses the nodes."""
        for name in self._event.target_names:
            self._cluster.nodes_by_name[name].pause()

    async def end(self) -> None:
        """Resumes the nodes."""
        for name in self._event.target_names:
            self._cluster.nodes_by_name[name].resume()


@actions.register("kill_server")
class KillServer(Action):
    """Kills servers; the end of the fault starts them again."""

    async def begin(self) -> None:
        """Kills the servers."""
        for name in self._event.target_names:
            self._cluster.backends_by_name[name].kill()

    async def end(self) -> None:
        """Starts the servers."""
        await asyncio.gather(
            *(self._cluster.backends_by_name[name].start() for name in self._event.target_names)
        )


@actions.register("kill_node")
class KillNode(Action):
    """Kills nodes; the end of the fault starts them again."""

    async def begin(self) -> None:
        """Kills the nodes."""
        for name in self._event.target_names:
            self._cluster.nodes_by_name[name].kill()

    async def end(self) -> None:
        """Starts the nodes."""
        await asyncio.gather(
            *(self._cluster.nodes_by_name[name].start() for name in self._event.target_names)
        )


@actions.register("zone_lost")
class ZoneLost(Action):
    """Kills all servers and nodes of a zone at the same time."""

    async def begin(self) -> None:
        """Kills the nodes and servers."""
        for name in self._event.target_names:
            self._cluster.nodes_by_name[name].kill()
            self._cluster.backends_by_name[name].kill()

    async def end(self) -> None:
        """Starts the servers, then the nodes."""
        for processes in (self._cluster.backends_by_name, self._cluster.nodes_by_name):
            await asyncio.gather(*(processes[name].start() for name in self._event.target_names))


@actions.register("stop_node")
class StopNode(Action):
    """Stops nodes with SIGTERM."""

    async def begin(self) -> None:
        """Stops the nodes one after the other."""
        for name in self._event.target_names:
            await self._cluster.stop_node(name)


@actions.register("replaced")
class Replaced(Action):
    """Restarts servers and their nodes, one server after the other."""

    async def begin(self) -> None:
        """Stops and starts the node and the server of each name."""
        for name in self._event.target_names:
            await self._cluster.stop_node(name)
            await self._cluster.backends_by_name[name].stop()
            await self._cluster.backends_by_name[name].start()
            await self._cluster.nodes_by_name[name].start()


class _PlatformFault(Action):
    """A fault of the platform, which lasts while a mode is set."""

    blocks_propagation = True
    mode: ClassVar[mode.Mode]

    async def begin(self) -> None:
        """Sets the mode."""
        await self._cluster.platform.set_mode(self.mode)

    async def end(self) -> None:
        """Sets the mode back to `OK`."""
        await self._cluster.platform.set_mode(mode.Mode.OK)


@actions.register("down")
class Down(_PlatformFault):
    """Makes reads of the platform fail."""

    mode = mode.Mode.DOWN


@actions.register("stale")
class Stale(_PlatformFault):
    """Makes reads of the platform return an old state."""

    mode = mode.Mode.STALE


@actions.register("backwards")
class Backwards(_PlatformFault):
    """Makes reads of the platform return version 1 as a new revision."""

    async def begin(self) -> None:
        """Goes back to the revision of the head of version 1, which is the last value of the version."""
        first = len(bundle.bundle(None, self._cluster.objects, 1))
        await self._cluster.platform.set_mode(mode.Mode.BACKWARDS, first)


@actions.register("publish")
class Publish(Action):
    """Publishes a version in which every policy allows one more queued request."""

    async def begin(self) -> None:
        """Publishes the version."""
        policies = {
            name: policy.model_copy(update={"queue_limit": policy.queue_limit + 1})
            for name, policy in self._cluster.objects.policies_by_name.items()
        }
        await self._cluster.publish(
            self._cluster.objects.model_copy(update={"policies_by_name": policies})
        )


@actions.register("partition")
class Partition(Action):
    """Blocks the traffic between two sides, in both directions or in one."""

    blocks_propagation = True

    async def begin(self) -> None:
        """Starts the partition.

        Raises:
            TestkitError: a server is on both sides.
        """
        if set(self._event.target_names) & set(self._event.other_side_names):
            raise errors.TestkitError(
                f"line {self._event.line}: a server is on both sides of the partition: "
                f"{self._event.target_names} from {self._event.other_side_names}"
            )
        self._cluster.partition(
            self._event.target_names, self._event.other_side_names, one_way=self._event.one_way
        )

    async def end(self) -> None:
        """Ends the partition."""
        self._cluster.heal()


class _LinkFault(Action):
    """A fault of all peer connections, which carry calls between nodes."""

    async def end(self) -> None:
        """Removes the fault."""
        self._set(network.Faults())

    def _set(self, faults: network.Faults) -> None:
        for (kind, _), proxy in self._cluster.proxies_by_name.items():
            if kind == "peer":
                proxy.set_faults(faults)


@actions.register("delay")
class Delay(_LinkFault):
    """Delays bytes in both directions."""

    async def begin(self) -> None:
        """Sets the fault."""
        delayed = network.DirectionFaults(delay_s=self._event.magnitude)
        self._set(network.Faults(to_target=delayed, to_caller=delayed))


@actions.register("duplicate")
class Duplicate(_LinkFault):
    """Replays byte streams on a second connection."""

    async def begin(self) -> None:
        """Sets the fault."""
        self._set(network.Faults(duplicate=True, duplicate_delay_s=0.05))
