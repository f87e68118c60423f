"""Faults and changes that a scenario can make."""

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

_LEAVE_ALLOWANCE_S = 3.0  # target of P5

PROXIED_BY_ACTION = {
    "partition": frozenset({"peer", "control"}),
    "delay": frozenset({"peer"}),
    "duplicate": frozenset({"peer"}),
}
"""Connections that must pass a fault proxy, by action; none for the other actions."""

Cluster = cluster_module.Cluster
Event = event_module.Event


class Action(abc.ABC):
    """What the lines `at ...` of one kind do.

    Attributes:
        cuts_off: whether nodes may not learn of a new version until the fault ends.
        leaves: servers that began to leave.

    Args:
        cluster: the running processes.
        event: the line of the scenario.
    """

    cuts_off: ClassVar[bool] = False

    def __init__(self, *, cluster: Cluster, event: Event) -> None:
        self._cluster = cluster
        self._event = event
        self.leaves: list[leave.Leave] = []

    @abc.abstractmethod
    async def begin(self) -> None:
        """Starts the fault or makes the change."""

    async def end(self) -> None:
        """Ends the fault; a change that stays has no end."""
        return


actions: registry.Registry[Action] = registry.Registry("action")


class _ServerFault(Action):
    """A fault of the backend server stand-in."""

    kind: ClassVar[backend_fault.FaultKind]

    async def begin(self) -> None:
        """Sets the fault."""
        fault = backend_fault.Fault(
            kind=self.kind,
            share=self._event.share,
            factor=self._event.number,
            delay_s=self._event.number,
        )
        for name in self._event.names:
            await self._cluster.backend(name).set_fault(fault)

    async def end(self) -> None:
        """Removes the fault."""
        for name in self._event.names:
            await self._cluster.backend(name).set_fault(backend_fault.Fault())


@actions.register("slow")
class Slow(_ServerFault):
    """The service time is multiplied."""

    kind = backend_fault.FaultKind.SLOW


@actions.register("refuse")
class Refuse(_ServerFault):
    """Requests are refused."""

    kind = backend_fault.FaultKind.REFUSE


@actions.register("late")
class Late(_ServerFault):
    """Answers come late."""

    kind = backend_fault.FaultKind.LATE


@actions.register("truncate")
class Truncate(_ServerFault):
    """Answers end half way."""

    kind = backend_fault.FaultKind.TRUNCATE


@actions.register("close_")
class Close(_ServerFault):
    """Connections close after the request ran."""

    kind = backend_fault.FaultKind.CLOSE


@actions.register("stall")
class Stall(_ServerFault):
    """Requests run without an answer."""

    kind = backend_fault.FaultKind.STALL


@actions.register("drain")
class Drain(Action):
    """A server says that it drains."""

    async def begin(self) -> None:
        """Starts the drain."""
        for name in self._event.names:
            self.leaves.append(
                leave.Leave(server=name, began=time.monotonic(), allowance_s=_LEAVE_ALLOWANCE_S)
            )
            await self._cluster.backend(name).set_draining(True)

    async def end(self) -> None:
        """Ends the drain."""
        now = time.monotonic()
        self.leaves = [dataclasses.replace(one, until=now) for one in self.leaves]
        for name in self._event.names:
            await self._cluster.backend(name).set_draining(False)


@actions.register("pause_server")
class PauseServer(Action):
    """The process of a server is stopped and wakes up late."""

    async def begin(self) -> None:
        """Pauses."""
        for name in self._event.names:
            self._cluster.backends_by_name[name].pause()

    async def end(self) -> None:
        """Wakes up."""
        for name in self._event.names:
            self._cluster.backends_by_name[name].resume()


@actions.register("pause_node")
class PauseNode(Action):
    """The process of a node is stopped and wakes up late."""

    cuts_off = True

    async def begin(self) -> None:
        """Pauses."""
        for name in self._event.names:
            self._cluster.nodes_by_name[name].pause()

    async def end(self) -> None:
        """Wakes up."""
        for name in self._event.names:
            self._cluster.nodes_by_name[name].resume()


@actions.register("kill_server")
class KillServer(Action):
    """A server dies; until is when it starts again."""

    async def begin(self) -> None:
        """Kills."""
        for name in self._event.names:
            self._cluster.backends_by_name[name].kill()

    async def end(self) -> None:
        """Starts."""
        await asyncio.gather(
            *(self._cluster.backends_by_name[name].start() for name in self._event.names)
        )


@actions.register("kill_node")
class KillNode(Action):
    """A node dies; until is when it starts again."""

    async def begin(self) -> None:
        """Kills."""
        for name in self._event.names:
            self._cluster.nodes_by_name[name].kill()

    async def end(self) -> None:
        """Starts."""
        await asyncio.gather(
            *(self._cluster.nodes_by_name[name].start() for name in self._event.names)
        )


@actions.register("zone_lost")
class ZoneLost(Action):
    """All servers and nodes of a zone die at the same time."""

    async def begin(self) -> None:
        """Kills."""
        for name in self._event.names:
            self._cluster.nodes_by_name[name].kill()
            self._cluster.backends_by_name[name].kill()

    async def end(self) -> None:
        """Starts."""
        for processes in (self._cluster.backends_by_name, self._cluster.nodes_by_name):
            await asyncio.gather(*(processes[name].start() for name in self._event.names))


@actions.register("stop_node")
class StopNode(Action):
    """A node gets SIGTERM."""

    async def begin(self) -> None:
        """Stops."""
        for name in self._event.names:
            await self._cluster.stop_node(name)


@actions.register("replaced")
class Replaced(Action):
    """Servers and their nodes are stopped and started, one after the other."""

    async def begin(self) -> None:
        """Replaces."""
        for name in self._event.names:
            await self._cluster.stop_node(name)
            await self._cluster.backends_by_name[name].stop()
            await self._cluster.backends_by_name[name].start()
            await self._cluster.nodes_by_name[name].start()


class _PlatformFault(Action):
    """A mode of the platform."""

    cuts_off = True
    mode: ClassVar[mode.Mode]

    async def begin(self) -> None:
        """Sets the mode."""
        await self._cluster.platform.set_mode(self.mode)

    async def end(self) -> None:
        """Ends the mode."""
        await self._cluster.platform.set_mode(mode.Mode.OK)


@actions.register("down")
class Down(_PlatformFault):
    """Reads fail."""

    mode = mode.Mode.DOWN


@actions.register("stale")
class Stale(_PlatformFault):
    """Reads see an old state."""

    mode = mode.Mode.STALE


@actions.register("backwards")
class Backwards(_PlatformFault):
    """Reads see version 1 as a new revision."""

    async def begin(self) -> None:
        """Goes back to the revision of the first head, the last of the values of version 1."""
        first = len(bundle.bundle(None, self._cluster.objects, 1))
        await self._cluster.platform.set_mode(mode.Mode.BACKWARDS, first)


@actions.register("publish")
class Publish(Action):
    """A new version with a longer queue in all policies."""

    async def begin(self) -> None:
        """Publishes."""
        policies = {
            name: policy.model_copy(update={"queue_limit": policy.queue_limit + 1})
            for name, policy in self._cluster.objects.policies_by_name.items()
        }
        await self._cluster.publish(
            self._cluster.objects.model_copy(update={"policies_by_name": policies})
        )


@actions.register("partition")
class Partition(Action):
    """Two sides do not reach each other, or only one way."""

    cuts_off = True

    async def begin(self) -> None:
        """Splits."""
        if set(self._event.names) & set(self._event.others):
            raise errors.TestkitError("a server is on both sides of a partition")
        self._cluster.partition(self._event.names, self._event.others, one_way=self._event.one_way)

    async def end(self) -> None:
        """Heals."""
        self._cluster.heal()


class _LinkFault(Action):
    """A fault of all connections for calls between nodes."""

    async def end(self) -> None:
        """Removes the fault."""
        self._set(network.Faults())

    def _set(self, faults: network.Faults) -> None:
        for (kind, _), proxy in self._cluster.proxies_by_name.items():
            if kind == "peer":
                proxy.set_faults(faults)


@actions.register("delay")
class Delay(_LinkFault):
    """Bytes are held back in both directions."""

    async def begin(self) -> None:
        """Sets the fault."""
        held = network.DirectionFaults(delay_s=self._event.number)
        self._set(network.Faults(to_target=held, to_caller=held))


@actions.register("duplicate")
class Duplicate(_LinkFault):
    """Byte streams are replayed on a second connection."""

    async def begin(self) -> None:
        """Sets the fault."""
        self._set(network.Faults(duplicate=True, duplicate_delay_s=0.05))
