"""Faults of measuring requests, which violate P1 (measuring within its budget)."""

import asyncio

from laburnumford_node import prober
from laburnumford_policy import measuring
from laburnumford_testkit.controls import fault, trial
from laburnumford_testkit.judge import invariant

_PROBE_INTERVAL_S = 0.05
_IDLE_DURATION_S = 5.0


@fault.faults.register("probes-without-budget")
class ProbesWithoutBudget(fault.Fault):
    """A node probes its server without regard to the measuring budget."""

    invariant = invariant.Invariant.MEASURING_WITHIN_BUDGET
    setup = trial.Setup(services=("pallet-release",), deployment_file="cyclone.jsonc")

    def install(self) -> None:
        """Admits every probe, 20 a second."""
        fault.replace(prober.Prober, "_wait_s", lambda _: _PROBE_INTERVAL_S)
        fault.replace(measuring.ProbeSchedule, "admit", lambda *_: True)

    async def apply_load(self, active_trial: trial.Trial) -> None:
        """Sends no calls, so that nodes learn the state of their servers only from probes."""
        await asyncio.sleep(_IDLE_DURATION_S)
        await active_trial.cluster.observe_versions()
