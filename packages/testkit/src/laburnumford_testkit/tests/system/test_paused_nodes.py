"""Tests of calls to nodes that are paused."""

from laburnumford_testkit.caller import call
from laburnumford_testkit.judge import evidence, judge

_SEED = 4
_TIMEOUT_MS = 500
_SCHEDULING_ALLOWANCE_S = 0.3  # scheduling delay on a loaded machine


async def test_call_to_a_paused_node_is_answered_by_its_deadline(run_cluster, make_caller):
    """Guards against a call that waits for a paused node until the caller gives up."""
    caller = make_caller()
    services = ["assay-results", "accounts"]
    async with run_cluster("nordvarde", services=services, seed=_SEED) as running:
        wanted = call.Call(path="/assay-results/1", timeout_ms=_TIMEOUT_MS)
        entry = running.edge_address("accounts-1")
        assert (await caller.call(wanted, entry)).status == 200
        for number in range(1, 6):
            running.nodes_by_name[f"assay-results-{number}"].pause()
        record = await caller.call(wanted, entry)
        for process in running.nodes_by_name.values():
            process.resume()
        assert (await caller.call(wanted, entry)).status == 200
        logs = evidence.Evidence(records=tuple(caller.records), runs=running.runs())
        assert judge.judge(logs) == ()
    assert record.answered is not None, record.error
    assert record.status == 504
    # Nothing is written without an open connection to the paused node: the call is refused.
    assert record.outcome in {"unknown", "refused"}
    assert record.answered - record.sent < _TIMEOUT_MS / 1000 + _SCHEDULING_ALLOWANCE_S
