"""What the judge looks at."""

import dataclasses

from laburnumford_testkit.backend import run
from laburnumford_testkit.caller import record
from laburnumford_testkit.judge import leave, planned_stop, versions
from laburnumford_testkit.judge import measuring as measuring_module


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evidence:
    """Logs of one test.

    Attributes:
        runs: runs of all backend servers.
        records: requests of all callers.
        all_runs_known: whether no log of a backend server is missing.
        leaves: backend servers that left.
        stops: planned stops.
        measuring: cost of measuring, by backend server.
        publications: published versions, in any order.
        observations: versions seen in force, in any order.
        propagation_s: time within which a publication must be in force everywhere; None if
            nodes may be cut off from it.
    """

    runs: tuple[run.Run, ...] = ()
    records: tuple[record.Record, ...] = ()
    all_runs_known: bool = True
    leaves: tuple[leave.Leave, ...] = ()
    stops: tuple[planned_stop.PlannedStop, ...] = ()
    measuring: tuple[measuring_module.Measuring, ...] = ()
    publications: tuple[versions.Publication, ...] = ()
    observations: tuple[versions.Observation, ...] = ()
    propagation_s: float | None = 7.0
