"""Logs and observations that the judge checks."""

import dataclasses

from laburnumford_testkit.backend import run
from laburnumford_testkit.caller import record
from laburnumford_testkit.judge import leave, planned_stop, versions
from laburnumford_testkit.judge import measuring as measuring_module


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evidence:
    """Logs and observations of one test run.

    Attributes:
        runs: runs of requests on all backend servers.
        records: requests of all callers, with their answers.
        all_runs_known: whether the run logs of all backend servers are available.
        leaves: backend servers that began to leave.
        planned_stops: planned stops of backend servers and nodes.
        measuring_loads: measuring requests and budget of each backend server.
        publications: published versions, in any order.
        observations: versions in force at nodes, in any order.
        propagation_limit_s: seconds within which a published version must be in force at all nodes;
            None if some nodes may be partitioned, so that no limit applies.
    """

    runs: tuple[run.Run, ...] = ()
    records: tuple[record.Record, ...] = ()
    all_runs_known: bool = True
    leaves: tuple[leave.Leave, ...] = ()
    planned_stops: tuple[planned_stop.PlannedStop, ...] = ()
    measuring_loads: tuple[measuring_module.MeasuringLoad, ...] = ()
    publications: tuple[versions.Publication, ...] = ()
    observations: tuple[versions.Observation, ...] = ()
    propagation_limit_s: float | None = 7.0
