"""Tests of the judge: for each invariant logs that it accepts and logs that it rejects."""

import pytest

from laburnumford_testkit import backend, caller, judge

Evidence = judge.evidence.Evidence
Invariant = judge.invariant.Invariant


def run(call_id="c1.0", **fields):
    """Returns a whole run of a GET on server s1 at 10 s."""
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
    """Returns a whole, own answer to a request sent at 10 s."""
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
        "whole": True,
        "own": True,
        **fields,
    }
    return caller.record.Record(**values)


def rejected(evidence):
    """Returns the invariants that the judge finds violated."""
    return [finding.invariant for finding in judge.judge.judge(evidence)]


def test_accepts_clean_logs():
    """Fails if the judge reports violations where everything holds."""
    evidence = Evidence(
        runs=(run(), run("c2.1", key="t1", method="POST"), run("c3.0"), run("c3.0")),
        records=(
            record(),
            record("c2.0", status=428, outcome="refused", own=None, answer_id=""),
            record("c2.1", key="t1"),
            record("c3.0"),
        ),
        leaves=(judge.leave.Leave(server="s1", began=9.0),),
        stops=(judge.planned_stop.PlannedStop(server="s1", began=10.05, ended=12.0),),
        measuring=(
            judge.measuring.MeasuringLoad(
                server="s1", probes=((1.0, 100), (2.0, 100)), calls_per_s=1, bytes_per_s=200
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
    """Fails if two certificates on one bar go unnoticed, also on different servers."""
    runs = (run("c1.1", key="t1"), run("c1.2", key="t1", server="s2"))
    findings = judge.judge.judge(Evidence(runs=runs))
    assert [finding.invariant for finding in findings] == [Invariant.AT_MOST_ONCE]
    assert "s1 at 10" in findings[0].message
    assert "s2 at 10" in findings[0].message
    assert str(findings[0]).startswith("P4 key t1: ran 2 times")


def test_rejects_a_key_that_ran_twice_without_ending():
    """Fails if runs that were cancelled or killed do not count as runs."""
    runs = (run("c1.1", key="t1", ended=None), run("c1.2", key="t1", cancelled=True))
    assert Invariant.AT_MOST_ONCE in rejected(Evidence(runs=runs))


def test_rejects_a_call_without_key_that_is_not_idempotent_and_ran_twice():
    """Fails if a resend without proof goes unnoticed because the caller had no ticket."""
    assert rejected(Evidence(runs=(run(method="POST"), run(method="POST", server="s2")))) == [
        Invariant.AT_MOST_ONCE
    ]


@pytest.mark.parametrize("started", [9.0, 10.05, 60.0])
def test_rejects_a_refused_request_that_ran(started):
    """Fails if a refused request may run, before or after its refusal."""
    refused = record(status=503, outcome="refused", reason="overloaded", own=None)
    evidence = Evidence(runs=(run(started=started),), records=(refused,))
    assert rejected(evidence) == [Invariant.REFUSED_NEVER_RAN]


def test_rejects_an_answer_that_is_not_own():
    """Fails if a part of another answer goes unnoticed."""
    evidence = Evidence(runs=(run(),), records=(record(own=False, answer_id="c9.0"),))
    assert rejected(evidence) == [Invariant.COMPLETE_OWN_ANSWER]


def test_rejects_an_answer_without_a_run():
    """Fails if an answer that no backend server gave goes unnoticed."""
    assert rejected(Evidence(records=(record(),))) == [Invariant.COMPLETE_OWN_ANSWER]
    assert rejected(Evidence(records=(record(),), all_runs_known=False)) == []


def test_accepts_an_answer_that_broke_off_visibly():
    """Fails if an aborted connection, which the caller sees, counts as a wrong answer."""
    broken = record(answered=None, whole=False, own=None, error="truncated")
    assert rejected(Evidence(runs=(run(),), records=(broken,))) == []


def test_rejects_work_after_leaving():
    """Fails if new work arrives after the allowance, or work before it is counted."""
    leaves = (judge.leave.Leave(server="s1", began=5.0, allowance_s=3.0),)
    assert rejected(Evidence(runs=(run(started=8.1),), leaves=leaves)) == [
        Invariant.NO_WORK_AFTER_LEAVING
    ]
    assert rejected(Evidence(runs=(run(started=7.9),), leaves=leaves)) == []
    assert rejected(Evidence(runs=(run(started=8.1, server="s2"),), leaves=leaves)) == []
    back = (judge.leave.Leave(server="s1", began=5.0, until=8.05),)
    assert rejected(Evidence(runs=(run(started=8.1),), leaves=back)) == []


@pytest.mark.parametrize(
    "cut",
    [
        run(ended=None, status=None, answer_whole=False),
        run(ended=11.5, status=None, cancelled=True, answer_whole=False),
        run(ended=11.5, answer_whole=False),
    ],
)
def test_rejects_a_run_cut_by_a_planned_stop(cut):
    """Fails if a run that a planned stop interrupted goes unnoticed."""
    stops = (judge.planned_stop.PlannedStop(server="s1", began=11.0, ended=12.0),)
    assert rejected(Evidence(runs=(cut,), stops=stops)) == [Invariant.NOTHING_INTERRUPTED]
    other = (judge.planned_stop.PlannedStop(server="s2", began=11.0, ended=12.0),)
    assert rejected(Evidence(runs=(cut,), stops=other)) == []


def test_rejects_a_request_cut_by_a_planned_stop():
    """Fails if a caller that lost its answer in a planned stop goes unnoticed."""
    stops = (
        judge.planned_stop.PlannedStop(server="s1", began=11.0, ended=12.0, edge_address="node1"),
    )
    cut = {"answered": None, "whole": False, "own": None}
    lost = record(error="no answer", **cut)
    assert rejected(Evidence(records=(lost,), stops=stops)) == [Invariant.NOTHING_INTERRUPTED]
    truncated = record(sent=11.5, error="truncated", **cut)
    assert rejected(Evidence(records=(truncated,), stops=stops)) == [Invariant.NOTHING_INTERRUPTED]
    elsewhere = record(target="node2", error="no answer", **cut)
    gave_up = record(error="timeout", **cut)
    assert rejected(Evidence(records=(elsewhere, gave_up), stops=stops)) == []


def test_rejects_a_planned_stop_with_an_error_status():
    """Fails if a node that crashed while it stopped passes for a graceful one."""
    stop = judge.planned_stop.PlannedStop(server="s1", began=1.0, ended=2.0, exit_status=1)
    assert rejected(Evidence(stops=(stop,))) == [Invariant.NOTHING_INTERRUPTED]


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
    """Fails if measuring above 2 calls/s or 500 bytes/s passes, in a burst or over time."""
    measuring = judge.measuring.MeasuringLoad(
        server="s1", probes=tuple(probes), calls_per_s=2, bytes_per_s=500
    )
    found = set(rejected(Evidence(measuring=(measuring,))))
    assert found == (set() if accepted else {Invariant.MEASURING_WITHIN_BUDGET})


def test_rejects_any_measuring_with_a_budget_of_zero():
    """Fails if a budget of zero still lets one probe through."""
    measuring = judge.measuring.MeasuringLoad(
        server="s1", probes=((1.0, 10),), calls_per_s=0, bytes_per_s=500
    )
    assert rejected(Evidence(measuring=(measuring,))) == [Invariant.MEASURING_WITHIN_BUDGET]


def seen(*pairs, node="n1"):
    """Returns observations from pairs of time and version."""
    return tuple(
        judge.versions.Observation(node=node, version=version, at=at) for at, version in pairs
    )


def test_rejects_a_version_that_goes_back():
    """Fails if a node reverts to an older version, also after a restart."""
    evidence = Evidence(observations=seen((1.0, 2), (2.0, 3), (3.0, 0), (4.0, 2)))
    assert rejected(evidence) == [Invariant.VERSION_NEVER_OLDER]
    other_node = seen((1.0, 3)) + seen((2.0, 2), node="n2")
    assert rejected(Evidence(observations=other_node)) == []


def test_rejects_a_version_that_comes_late():
    """Fails if a publication that is not in force after 7 s goes unnoticed."""
    publications = (judge.versions.Publication(version=2, at=10.0),)
    late = Evidence(publications=publications, observations=seen((11.0, 1), (17.5, 1)))
    assert rejected(late) == [Invariant.VERSION_NEVER_OLDER]
    timely = Evidence(publications=publications, observations=seen((16.5, 1), (17.5, 2)))
    assert rejected(timely) == []
    cut_off = Evidence(publications=publications, observations=seen((17.5, 1)), propagation_s=None)
    assert rejected(cut_off) == []
