"""What a scenario file says."""

import dataclasses

from laburnumford_objects import object_set
from laburnumford_testkit.caller import call as call_module
from laburnumford_testkit.scenario import event, expectation, timed_load


@dataclasses.dataclass(frozen=True, kw_only=True)
class Script:
    """A checked scenario.

    Attributes:
        title: what the scenario is about.
        objects: the deployment.
        services: services that run.
        seed: seed of processes and load.
        service_ms_by_service: service time of the backend servers of a service.
        calls_by_kind: kinds of calls.
        doubled: kinds whose requests are sent through two nodes at the same time.
        loads: loads in the order of the file.
        events: faults and changes in the order of the file.
        expectations: what must hold besides the invariants.
    """

    title: str
    objects: object_set.ObjectSet
    services: tuple[str, ...]
    seed: int
    service_ms_by_service: dict[str, float]
    calls_by_kind: dict[str, call_module.Call]
    doubled: frozenset[str]
    loads: tuple[timed_load.TimedLoad, ...]
    events: tuple[event.Event, ...]
    expectations: tuple[expectation.Expectation, ...]
