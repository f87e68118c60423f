"""One run of a cluster under load, with intact or with faulty nodes."""

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

EXAMPLES = pathlib.Path(__file__).parents[5] / "examples"
SEED = 7


@dataclasses.dataclass(frozen=True, kw_only=True)
class Setup:
    """The cluster of a trial.

    Attributes:
        services: services that run.
        file: name of the deployment file.
        proxied: connections that pass a fault proxy.
        repeats: repeats of a caller after an unknown outcome.
        repeat_delay_s: wait of a caller before each repeat.
    """

    services: tuple[str, ...]
    file: str = "nordvarde.jsonc"
    proxied: frozenset[str] = frozenset()
    repeats: int = 2
    repeat_delay_s: float = 0.05


class Trial:
    """A running cluster and what was seen of it.

    Args:
        setup: the cluster.
        folder: existing folder for logs.
        fault: name of the fault of all nodes; None for intact nodes.
    """

    def __init__(self, *, setup: Setup, folder: pathlib.Path, fault: str | None) -> None:
        command: tuple[str, ...] = ("laburnumford_node",)
        if fault is not None:
            command = ("laburnumford_testkit.controls.node", "--fault", fault)
        self.cluster = cluster_module.Cluster(
            objects=deployment.load(str(EXAMPLES / setup.file)),
            folder=folder,
            seed=SEED,
            services=setup.services,
            proxied=setup.proxied,
            node_command=command,
        )
        self._pool = pool.Pool()
        self.caller = caller_module.Caller(
            pool=self._pool, max_retries=setup.repeats, retry_delay_s=setup.repeat_delay_s
        )
        self.leaves: list[leave_module.Leave] = []
        self.events = 0
        """Runs and measuring requests that the judge has seen."""

    async def __aenter__(self) -> "Trial":
        """Starts the cluster."""
        await self.cluster.__aenter__()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends the cluster."""
        self._pool.close()
        await self.cluster.close()

    async def call(
        self,
        call: call_module.Call,
        *,
        rate_per_s: float,
        duration_s: float,
        addresses: Sequence[str] | None = None,
    ) -> None:
        """Applies a load of one kind of calls."""
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
        """Returns the findings of the judge."""
        await self.cluster.observe_versions()
        runs = self.cluster.runs()
        measuring = await measuring_log.collect(self.cluster)
        self.events = len(runs) + sum(len(one.probes) for one in measuring)
        return judge.judge(
            evidence.Evidence(
                runs=runs,
                records=tuple(self.caller.records),
                leaves=tuple(self.leaves),
                stops=tuple(self.cluster.planned_stops),
                measuring=measuring,
                publications=tuple(self.cluster.publisher.publications),
                observations=tuple(self.cluster.observations),
            )
        )
