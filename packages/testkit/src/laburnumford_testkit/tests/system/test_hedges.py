"""Tests of hedged requests."""

import asyncio

from laburnumford_testkit.backend import fault
from laburnumford_testkit.caller import call, load

_SEED = 6


async def test_calls_to_a_stalled_server_are_hedged_and_its_attempts_cancelled(
    run_cluster, make_caller
):
    """Guards against lookups that wait for a stalled server, and attempts that keep its slots.

    The attempt at the stalled server is cancelled when the other attempt is answered.
    """
    caller = make_caller()
    services = ["assay-results", "accounts"]
    async with run_cluster("nordvarde", services=services, seed=_SEED) as running:
        entry = running.edge_address("accounts-1")
        lookups = load.Load(
            calls=[call.Call(path="/assay-results/1", timeout_ms=500, work_ms=5)],
            addresses=[entry],
            rate_per_s=100.0,
            duration_s=1.5,
            seed=_SEED,
        )
        await load.run(lookups, caller)
        # The chooser prefers this server: it is in the zone of the entry node.
        stalled = running.backend("assay-results-1")
        await stalled.set_fault(fault.Fault(kind=fault.FaultKind.STALL))
        caller.records.clear()
        await load.run(lookups, caller)
        await asyncio.sleep(0.2)
        status = await running.node("accounts-1").status()
        budget = status["retry_budgets"]["assay-results"]
        runs = await stalled.runs()
        stalled_running_count = (await stalled.counters())["running"]
    answered = [one for one in caller.records if one.status == 200 and one.is_own_answer]
    assert budget["admitted"]["hedge"] > 0
    # The retry budget is a hard bound: a call may go unanswered only if its hedge was denied.
    assert len(caller.records) - len(answered) <= budget["denied"]["hedge"]
    assert len(answered) >= 0.95 * len(caller.records)
    assert any(run.cancelled for run in runs)
    assert stalled_running_count == 0
