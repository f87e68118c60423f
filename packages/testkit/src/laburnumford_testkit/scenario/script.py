"""Parsed and checked contents of a scenario file."""

import dataclasses

from laburnumford_objects import object_set
from laburnumford_testkit.caller import call as call_module
from laburnumford_testkit.scenario import event, expectation, timed_load


@dataclasses.dataclass(frozen=True, kw_only=True)
class Script:
    """Contents of a scenario file, after all checks.

    Attributes:
        title: title of the scenario.
        objects: the deployment.
        services: names of the services whose servers run.
        seed: seed of the processes and the loads.
        service_ms_by_service: median service time of the backend servers of a service, in ms.
        calls_by_kind: calls by the name of their kind.
        doubled_kinds: kinds whose requests are sent through two nodes at the same time.
        loads: loads in the order of the file.
        events: faults and changes in the order of the file.
        expectations: expected results besides the invariants.
    """

    title: str
    objects: object_set.ObjectSet
    services: tuple[str, ...]
    seed: int
    service_ms_by_service: dict[str, float]
    calls_by_kind: dict[str, call_module.Call]
    doubled_kinds: frozenset[str]
    loads: tuple[timed_load.TimedLoad, ...]
    events: tuple[event.Event, ...]
    expectations: tuple[expectation.Expectation, ...]
