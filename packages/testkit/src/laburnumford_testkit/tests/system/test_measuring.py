"""Tests that measuring requests stay within their budget."""

import asyncio

import pytest

from laburnumford_testkit.backend import fault
from laburnumford_testkit.caller import call, load
from laburnumford_testkit.judge import evidence, judge, measuring

_SEED = 9


@pytest.mark.parametrize("state", ["idle", "refusing", "stalled", "restarting"])
async def test_probes_stay_within_the_budget(run_cluster, make_caller, state):
    """Guards against probing that grows with failures, with callers or without answers."""
    caller = make_caller()
    async with run_cluster("cyclone", services=["pallet-release"], seed=_SEED) as running:
        policy = running.objects.policies_by_name["release"]
        kinds = {"refusing": fault.FaultKind.REFUSE, "stalled": fault.FaultKind.STALL}
        if state in kinds:
            for name in running.backends_by_name:
                await running.backend(name).set_fault(fault.Fault(kind=kinds[state]))
        if state == "restarting":
            for name in running.nodes_by_name:
                running.backends_by_name[name].kill()
                await running.backends_by_name[name].start()
        if state == "idle":
            await asyncio.sleep(5.0)
        else:
            await load.run(
                load.Load(
                    calls=[call.Call(path="/releases/1", timeout_ms=300)],
                    addresses=running.edge_addresses,
                    rate_per_s=200.0,
                    duration_s=5.0,
                    seed=_SEED,
                ),
                caller,
            )
        loads = []
        for name in running.backends_by_name:
            probes = await running.backend(name).measuring_requests()
            budget = policy.measuring
            loads.append(
                measuring.MeasuringLoad(
                    server=name,
                    requests=probes,
                    calls_per_s=budget.calls_per_s,
                    bytes_per_s=budget.bytes_per_s,
                )
            )
        assert judge.judge(evidence.Evidence(measuring_loads=tuple(loads))) == ()
        if state == "idle":
            assert all(one.requests for one in loads), "no probe was sent, so nothing was tested"
