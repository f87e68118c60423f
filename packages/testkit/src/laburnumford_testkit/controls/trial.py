"""One run of a cluster under load, with faulty or with intact nodes."""

import dataclasses
import pathlib
from collections.abc import Sequence

from laburnumford_objects import deployment
from laburnumford_testkit.backend import fault as backend_fault
from laburnumford_testkit.caller import call as call_module
from laburnumford_testkit.caller import caller as caller_module
from laburnumford_testkit.caller import load, pool
from laburnumford_testkit.judge import evidence, finding, judge
from laburnumford_testkit.judge import leave as leave_module
from laburnumford_testkit.processes import cluster as cluster_module
from laburnumford_testkit.processes import measuring_log

EXAMPLES_FOLDER = pathlib.Path(__file__).parents[5] / "examples"
SEED = 7


@dataclasses.dataclass(frozen=True, kw_only=True)
class Setup:
    """Settings of the cluster and the callers of a trial.

    Attributes:
        services: names of the services that run.
        deployment_file: name of the deployment file in the folder of examples.
        proxied: kinds of connections that pass through a fault proxy.
        max_retries: retries of a caller after an unknown outcome.
        retry_delay_s: seconds for which a caller waits before each retry.
    """

    services: tuple[str, ...]
    deployment_file: str = "nordvarde.jsonc"
    proxied: frozenset[str] = frozenset()
    max_retries: int = 2
    retry_delay_s: float = 0.05


class Trial:
    """A running cluster, its caller and the logs that the judge checks.

    Args:
        setup: settings of the cluster and the callers.
        folder: existing folder for logs.
        fault: name of the fault that all nodes have; None for intact nodes.
    """

    def __init__(self, *, setup: Setup, folder: pathlib.Path, fault: str | None) -> None:
        command: tuple[str, ...] = ("laburnumford_node",)
        if fault is not None:
            command = ("laburnumford_testkit.controls.node", "--fault", fault)
        self.cluster = cluster_module.Cluster(
            objects=deployment.load(str(EXAMPLES_FOLDER / setup.deployment_file)),
            folder=folder,
            seed=SEED,
            services=setup.services,
            proxied=setup.proxied,
            node_command=command,
        )
        self._pool = pool.Pool()
        self.caller = caller_module.Caller(
            pool=self._pool, max_retries=setup.max_retries, retry_delay_s=setup.retry_delay_s
        )
        self.leaves: list[leave_module.Leave] = []
        self.event_count = 0
        """Number of runs and measuring requests that the judge has checked."""

    async def __aenter__(self) -> "Trial":
        """Starts the cluster."""
        await self.cluster.__aenter__()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes the connections of the caller and stops the cluster."""
        self._pool.close()
        await self.cluster.close()

    async def send_calls(
        self,
        call: call_module.Call,
        *,
        rate_per_s: float,
        duration_s: float,
        addresses: Sequence[str] | None = None,
    ) -> None:
        """Sends one kind of calls to the nodes at `addresses` (default: all) in an open loop."""
        await load.run(
            load.Load(
                calls=[call],
                addresses=addresses or self.cluster.edge_addresses,
                rate_per_s=rate_per_s,
                duration_s=duration_s,
                seed=SEED,
            ),
            self.caller,
        )

    async def set_server_faults(self, fault: backend_fault.Fault) -> None:
        """Sets the same fault on all backend servers."""
        for name in self.cluster.backends_by_name:
            await self.cluster.backend(name).set_fault(fault)

    async def judge(self) -> tuple[finding.Finding, ...]:
        """Collects the logs of the cluster and returns the violations of invariants."""
        await self.cluster.observe_versions()
        runs = self.cluster.runs()
        measuring = await measuring_log.collect(self.cluster)
        self.event_count = len(runs) + sum(len(one.requests) for one in measuring)
        return judge.judge(
            evidence.Evidence(
                runs=runs,
                records=tuple(self.caller.records),
                leaves=tuple(self.leaves),
                planned_stops=tuple(self.cluster.planned_stops),
                measuring_loads=measuring,
                publications=tuple(self.cluster.publisher.publications),
                observations=tuple(self.cluster.observations),
            )
        )
