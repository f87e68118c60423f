"""Faults of leaving: P5 and P6."""

import asyncio
import os
import time

from laburnumford_node import adjacent, node
from laburnumford_testkit.caller import call
from laburnumford_testkit.controls import fault, trial
from laburnumford_testkit.judge import invariant, leave

_ALLOWANCE_S = 3.0  # target of P5


@fault.faults.register("ignores-draining")
class IgnoresDraining(fault.Fault):
    """A node goes on to use a server that has said that it drains."""

    invariant = invariant.Invariant.NO_WORK_AFTER_LEAVING
    setup = trial.Setup(services=("assay-results",))

    def install(self) -> None:
        """Makes the adjacent server never drain."""
        fault.replace(adjacent.AdjacentServer, "draining", property(lambda _: False))

    async def apply_load(self, running: trial.Trial) -> None:
        """Looks up for longer than the allowance after a server began to drain."""
        name = next(iter(running.cluster.backends_by_name))
        lookup = call.Call(path="/assay-results/bars/7", timeout_ms=500, work_ms=2.0)
        loading = asyncio.create_task(running.call(lookup, rate_per_s=80.0, duration_s=5.0))
        await asyncio.sleep(0.5)
        running.leaves.append(
            leave.Leave(server=name, began=time.monotonic(), allowance_s=_ALLOWANCE_S)
        )
        await running.cluster.backend(name).set_draining(True)
        await loading


@fault.faults.register("exits-at-once")
class ExitsAtOnce(fault.Fault):
    """A node ends at SIGTERM without waiting for the work in flight."""

    invariant = invariant.Invariant.NOTHING_INTERRUPTED
    setup = trial.Setup(services=("assay-results",))

    def install(self) -> None:
        """Ends the process with status 0 when the drain is asked for."""
        fault.replace(node.Node, "request_drain", lambda _: os._exit(0))

    async def apply_load(self, running: trial.Trial) -> None:
        """Stops a node while calls through it are in flight."""
        cluster = running.cluster
        name = next(iter(cluster.nodes_by_name))
        lookup = call.Call(path="/assay-results/bars/7", timeout_ms=2000, work_ms=250.0)
        loading = asyncio.create_task(
            running.call(
                lookup, rate_per_s=20.0, duration_s=1.0, addresses=[cluster.edge_address(name)]
            )
        )
        await asyncio.sleep(0.8)
        await cluster.stop_node(name)
        await loading
