"""Faults of leaving servers and stopping nodes, which violate P5 or P6."""

import asyncio
import os
import time

from laburnumford_node import adjacent, node
from laburnumford_testkit.caller import call
from laburnumford_testkit.controls import fault, trial
from laburnumford_testkit.judge import invariant, leave

_LEAVE_ALLOWANCE_S = 3.0  # P5 allows new work for this time after a server begins to leave


@fault.faults.register("ignores-draining")
class IgnoresDraining(fault.Fault):
    """A node continues to use a server that has reported that it drains."""

    invariant = invariant.Invariant.NO_WORK_AFTER_LEAVING
    setup = trial.Setup(services=("assay-results",))

    def install(self) -> None:
        """Makes the node always take its adjacent server as not draining."""
        fault.replace(adjacent.AdjacentServer, "draining", property(lambda _: False))

    async def apply_load(self, active_trial: trial.Trial) -> None:
        """Sends lookups for longer than the allowance after a server began to drain."""
        name = next(iter(active_trial.cluster.backends_by_name))
        lookup = call.Call(path="/assay-results/bars/7", timeout_ms=500, work_ms=2.0)
        loading = asyncio.create_task(
            active_trial.send_calls(lookup, rate_per_s=80.0, duration_s=5.0)
        )
        await asyncio.sleep(0.5)
        active_trial.leaves.append(
            leave.Leave(server=name, began=time.monotonic(), allowance_s=_LEAVE_ALLOWANCE_S)
        )
        await active_trial.cluster.backend(name).set_draining(True)
        await loading


@fault.faults.register("exits-at-once")
class ExitsAtOnce(fault.Fault):
    """A node exits at SIGTERM without waiting for the requests in flight."""

    invariant = invariant.Invariant.NOTHING_INTERRUPTED
    setup = trial.Setup(services=("assay-results",))

    def install(self) -> None:
        """Exits with status 0 as soon as the drain is requested."""
        fault.replace(node.Node, "request_drain", lambda _: os._exit(0))

    async def apply_load(self, active_trial: trial.Trial) -> None:
        """Stops a node while calls through it are in flight."""
        cluster = active_trial.cluster
        name = next(iter(cluster.nodes_by_name))
        lookup = call.Call(path="/assay-results/bars/7", timeout_ms=2000, work_ms=250.0)
        loading = asyncio.create_task(
            active_trial.send_calls(
                lookup, rate_per_s=20.0, duration_s=1.0, addresses=[cluster.edge_address(name)]
            )
        )
        await asyncio.sleep(0.8)
        await cluster.stop_node(name)
        await loading
