"""Tests of the judge: logs that it accepts and logs that it rejects, for each invariant."""

import pytest

from laburnumford_testkit import backend, caller, judge

Evidence = judge.evidence.Evidence
Invariant = judge.invariant.Invariant


def run(call_id="c1.0", **fields):
    """Returns a completed run of a GET on server s1 that started at 10 s."""
    values = {
        "run_id": 0,
        "server": "s1",
        "call_id": call_id,
        "key": "",
        "method": "GET",
        "path": "/",
        "started": 10.0,
        "ended": 10.1,
        "status": 200,
        "answer_whole": True,
        **fields,
    }
    return backend.run.Run(**values)


def record(call_id="c1.0", **fields):
    """Returns the record of a request sent at 10 s that got its own, complete answer."""
    values = {
        "call": call_id.partition(".")[0],
        "call_id": call_id,
        "kind": "lookup",
        "target": "node1",
        "sent": 10.0,
        "due": 10.0,
        "answered": 10.1,
        "status": 200,
        "server": "s1",
        "answer_id": call_id,
        "complete": True,
        "is_own_answer": True,
        **fields,
    }
    return caller.record.Record(**values)


def violated_invariants(evidence):
    """Returns the invariants that the judge finds violated."""
    return [finding.invariant for finding in judge.judge.judge(evidence)]


def test_accepts_clean_logs():
    """Fails if the judge reports a violation in logs without any."""
    evidence = Evidence(
        runs=(run(), run("c2.1", key="t1", method="POST"), run("c3.0"), run("c3.0")),
        records=(
            record(),
            record("c2.0", status=428, outcome="refused", is_own_answer=None, answer_id=""),
            record("c2.1", ticket="t1"),
            record("c3.0"),
        ),
        leaves=(judge.leave.Leave(server="s1", began=9.0),),
        planned_stops=(judge.planned_stop.PlannedStop(server="s1", began=10.05, ended=12.0),),
        measuring_loads=(
            judge.measuring.MeasuringLoad(
                server="s1", requests=((1.0, 100), (2.0, 100)), calls_per_s=1, bytes_per_s=200
            ),
        ),
        publications=(judge.versions.Publication(version=1, at=0.0),),
        observations=(
            judge.versions.Observation(node="n1", version=0, at=1.0),
            judge.versions.Observation(node="n1", version=1, at=6.0),
            judge.versions.Observation(node="n1", version=1, at=20.0),
        ),
    )
    assert judge.judge.judge(evidence) == ()


def test_rejects_a_key_that_ran_twice():
    """Fails if two runs with one idempotency key go unnoticed, also on different servers."""
    runs = (run("c1.1", key="t1"), run("c1.2", key="t1", server="s2"))
    findings = judge.judge.judge(Evidence(runs=runs))
    assert [finding.invariant for finding in findings] == [Invariant.AT_MOST_ONCE]
    assert "s1 at 10" in findings[0].message
    assert "s2 at 10" in findings[0].message
    assert str(findings[0]).startswith("P4 key t1: ran 2 times")


def test_rejects_a_key_that_ran_twice_without_ending():
    """Fails if runs that were cancelled or killed do not count as runs."""
    runs = (run("c1.1", key="t1", ended=None), run("c1.2", key="t1", cancelled=True))
    assert Invariant.AT_MOST_ONCE in violated_invariants(Evidence(runs=runs))


def test_rejects_a_non_idempotent_call_without_key_that_ran_twice():
    """Fails if a resend without proof that the first attempt did not run goes unnoticed.

    The caller has no ticket, so only the call id links the runs.
    """
    assert violated_invariants(
        Evidence(runs=(run(method="POST"), run(method="POST", server="s2")))
    ) == [Invariant.AT_MOST_ONCE]


@pytest.mark.parametrize("started", [9.0, 10.05, 60.0])
def test_rejects_a_refused_request_that_ran(started):
    """Fails if the run of a refused request goes unnoticed, before or after the refusal."""
    refused = record(status=503, outcome="refused", reason="overloaded", is_own_answer=None)
    evidence = Evidence(runs=(run(started=started),), records=(refused,))
    assert violated_invariants(evidence) == [Invariant.REFUSED_NEVER_RAN]


def test_rejects_an_answer_that_is_not_own():
    """Fails if an answer with bytes of another answer goes unnoticed."""
    evidence = Evidence(runs=(run(),), records=(record(is_own_answer=False, answer_id="c9.0"),))
    assert violated_invariants(evidence) == [Invariant.COMPLETE_OWN_ANSWER]


def test_rejects_an_answer_without_a_run():
    """Fails if an answer that no backend server sent goes unnoticed."""
    assert violated_invariants(Evidence(records=(record(),))) == [Invariant.COMPLETE_OWN_ANSWER]
    assert violated_invariants(Evidence(records=(record(),), all_runs_known=False)) == []


def test_accepts_a_truncated_answer_that_the_caller_detects():
    """Fails if an aborted connection, which the caller detects, counts as a wrong answer."""
    broken = record(answered=None, complete=False, is_own_answer=None, error="truncated")
    assert violated_invariants(Evidence(runs=(run(),), records=(broken,))) == []


def test_rejects_work_after_leaving():
    """Fails if a run after the allowance goes unnoticed, or an earlier one is a violation."""
    leaves = (judge.leave.Leave(server="s1", began=5.0, allowance_s=3.0),)
    assert violated_invariants(Evidence(runs=(run(started=8.1),), leaves=leaves)) == [
        Invariant.NO_WORK_AFTER_LEAVING
    ]
    assert violated_invariants(Evidence(runs=(run(started=7.9),), leaves=leaves)) == []
    assert (
        violated_invariants(Evidence(runs=(run(started=8.1, server="s2"),), leaves=leaves)) == []
    )
    returned = (judge.leave.Leave(server="s1", began=5.0, until=8.05),)
    assert violated_invariants(Evidence(runs=(run(started=8.1),), leaves=returned)) == []


@pytest.mark.parametrize(
    "interrupted",
    [
        run(ended=None, status=None, answer_whole=False),
        run(ended=11.5, status=None, cancelled=True, answer_whole=False),
        run(ended=11.5, answer_whole=False),
    ],
)
def test_rejects_a_run_interrupted_by_a_planned_stop(interrupted):
    """Fails if a run that a planned stop interrupted goes unnoticed."""
    stops = (judge.planned_stop.PlannedStop(server="s1", began=11.0, ended=12.0),)
    assert violated_invariants(Evidence(runs=(interrupted,), planned_stops=stops)) == [
        Invariant.NOTHING_INTERRUPTED
    ]
    other = (judge.planned_stop.PlannedStop(server="s2", began=11.0, ended=12.0),)
    assert violated_invariants(Evidence(runs=(interrupted,), planned_stops=other)) == []


def test_rejects_a_request_interrupted_by_a_planned_stop():
    """Fails if a caller that got no complete answer due to a planned stop goes unnoticed."""
    stops = (
        judge.planned_stop.PlannedStop(server="s1", began=11.0, ended=12.0, edge_address="node1"),
    )
    interrupted = {"answered": None, "complete": False, "is_own_answer": None}
    lost = record(error="no answer", **interrupted)
    assert violated_invariants(Evidence(records=(lost,), planned_stops=stops)) == [
        Invariant.NOTHING_INTERRUPTED
    ]
    truncated = record(sent=11.5, error="truncated", **interrupted)
    assert violated_invariants(Evidence(records=(truncated,), planned_stops=stops)) == [
        Invariant.NOTHING_INTERRUPTED
    ]
    elsewhere = record(target="node2", error="no answer", **interrupted)
    timed_out = record(error="timeout", **interrupted)
    assert violated_invariants(Evidence(records=(elsewhere, timed_out), planned_stops=stops)) == []


def test_rejects_a_planned_stop_with_an_error_status():
    """Fails if a node that crashes during a planned stop counts as stopped gracefully."""
    stop = judge.planned_stop.PlannedStop(server="s1", began=1.0, ended=2.0, exit_status=1)
    assert violated_invariants(Evidence(planned_stops=(stop,))) == [Invariant.NOTHING_INTERRUPTED]


@pytest.mark.parametrize(
    ("probes", "accepted"),
    [
        ([(1.0, 10), (1.1, 10)], True),
        ([(1.0, 10), (1.1, 10), (1.2, 10)], False),
        ([(index / 2, 10) for index in range(40)], True),
        ([(index / 2.5, 10) for index in range(40)], False),
        ([(1.0, 900)], True),
        ([(1.0, 900), (1.9, 900)], False),
    ],
)
def test_measuring_within_budget(probes, accepted):
    """Fails if more than 2 calls/s or 500 bytes/s are accepted, in a burst or over time."""
    measuring = judge.measuring.MeasuringLoad(
        server="s1", requests=tuple(probes), calls_per_s=2, bytes_per_s=500
    )
    found = set(violated_invariants(Evidence(measuring_loads=(measuring,))))
    assert found == (set() if accepted else {Invariant.MEASURING_WITHIN_BUDGET})


def test_rejects_any_measuring_request_with_a_budget_of_zero():
    """Fails if a budget of zero still allows one probe."""
    measuring = judge.measuring.MeasuringLoad(
        server="s1", requests=((1.0, 10),), calls_per_s=0, bytes_per_s=500
    )
    assert violated_invariants(Evidence(measuring_loads=(measuring,))) == [
        Invariant.MEASURING_WITHIN_BUDGET
    ]


def observed(*pairs, node="n1"):
    """Returns observations from pairs of time and version."""
    return tuple(
        judge.versions.Observation(node=node, version=version, at=at) for at, version in pairs
    )


def test_rejects_a_version_that_decreases():
    """Fails if a node reverts to an older version, also after a restart."""
    evidence = Evidence(observations=observed((1.0, 2), (2.0, 3), (3.0, 0), (4.0, 2)))
    assert violated_invariants(evidence) == [Invariant.VERSION_NEVER_OLDER]
    other_node = observed((1.0, 3)) + observed((2.0, 2), node="n2")
    assert violated_invariants(Evidence(observations=other_node)) == []


def test_rejects_a_version_that_is_late():
    """Fails if a publication that is not in force after 7 s goes unnoticed."""
    publications = (judge.versions.Publication(version=2, at=10.0),)
    late = Evidence(publications=publications, observations=observed((11.0, 1), (17.5, 1)))
    assert violated_invariants(late) == [Invariant.VERSION_NEVER_OLDER]
    in_time = Evidence(publications=publications, observations=observed((16.5, 1), (17.5, 2)))
    assert violated_invariants(in_time) == []
    partitioned = Evidence(
        publications=publications, observations=observed((17.5, 1)), propagation_limit_s=None
    )
    assert violated_invariants(partitioned) == []
