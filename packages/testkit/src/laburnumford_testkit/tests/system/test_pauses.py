"""Tests of nodes that resume after a pause with outdated state."""

import asyncio

from laburnumford_testkit.caller import call, load
from laburnumford_testkit.judge import evidence, judge

_SEED = 4
_TIMEOUT_MS = 400
_LATE_START_ALLOWANCE_S = 0.05


async def test_paused_nodes_forward_no_expired_requests(run_cluster, make_caller):
    """Guards against a node that resumes after a pause and forwards calls past their deadline.

    The callers of these calls have given up.
    """
    caller = make_caller(max_retries=0)
    lookup = call.Call(path="/assay-results/1", timeout_ms=_TIMEOUT_MS, work_ms=5.0)
    async with run_cluster(services=["assay-results", "accounts"], seed=_SEED) as running:
        loading = asyncio.create_task(
            load.run(
                load.Load(
                    calls=[lookup],
                    addresses=running.edge_addresses,
                    rate_per_s=300.0,
                    duration_s=6.0,
                    seed=_SEED,
                ),
                caller,
            )
        )
        for name in sorted(running.nodes_by_name)[:4]:
            await asyncio.sleep(0.3)
            running.nodes_by_name[name].pause()
            await asyncio.sleep(1.0)
            running.nodes_by_name[name].resume()
        await loading
        runs = running.runs()
        logs = evidence.Evidence(records=tuple(caller.records), runs=runs)
        assert judge.judge(logs) == ()
    sent_by_id = {record.call_id: record.sent for record in caller.records}
    late_start_s_by_id = {
        run.call_id: run.started - sent_by_id[run.call_id]
        for run in runs
        if run.started - sent_by_id[run.call_id] > _TIMEOUT_MS / 1000 + _LATE_START_ALLOWANCE_S
    }
    assert late_start_s_by_id == {}
    affected = [r for r in caller.records if r.error or r.reason == "deadline"]
    assert affected, "no call reached a paused node"
