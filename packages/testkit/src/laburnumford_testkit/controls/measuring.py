"""Faults of measuring: P1."""

import asyncio

from laburnumford_node import prober
from laburnumford_policy import measuring
from laburnumford_testkit.controls import fault, trial
from laburnumford_testkit.judge import invariant

_GAP_S = 0.05
_IDLE_S = 5.0


@fault.faults.register("probes-without-budget")
class ProbesWithoutBudget(fault.Fault):
    """A node probes its server without asking the budget."""

    invariant = invariant.Invariant.MEASURING_WITHIN_BUDGET
    setup = trial.Setup(services=("pallet-release",), file="cyclone.jsonc")

    def install(self) -> None:
        """Admits every probe, 20 a second."""
        fault.replace(prober.Prober, "_wait_s", lambda _: _GAP_S)
        fault.replace(measuring.ProbeSchedule, "admit", lambda *_: True)

    async def apply_load(self, running: trial.Trial) -> None:
        """Leaves the servers without calls, so that only probes tell how they are."""
        await asyncio.sleep(_IDLE_S)
        await running.cluster.observe_versions()
