"""Tests of the figures of the policy bench, which compares choosers."""

import dataclasses

import pytest

from laburnumford_objects import check
from laburnumford_testkit.bench import policy
from laburnumford_testkit.caller import record


def make_record(number, latency_s, *, kind="lookup", status=200, outcome=""):
    """Returns the record of a call that was due at `number` tenths of a second."""
    due = number / 10
    return record.Record(
        call=str(number),
        call_id=f"{number}.0",
        kind=kind,
        due=due,
        sent=due,
        answered=None if latency_s is None else due + latency_s,
        status=status,
        outcome=outcome,
        is_own_answer=True if status == 200 else None,
    )


def outcome_of(records, resends=0):
    """Returns the outcome of a load of 2.5 s that began at 0."""
    return policy._Outcome(
        chooser="random",
        fault="none",
        records=records,
        began=0.0,
        duration_s=2.5,
        skipped=0,
        resends=resends,
        probes_per_s=0.0,
        probe_bytes_per_s=0.0,
        share_of_budget=0.0,
    )


def test_failed_lookups_count_with_their_timeout():
    """Fails if calls without an answer in time improve the tail latency of a chooser."""
    records = [make_record(number, 0.01) for number in range(9)]
    records.append(make_record(9, 0.001, status=503, outcome="refused"))
    assert outcome_of(records).lookup_latency_ms(50) == pytest.approx(10, rel=0.01)
    assert outcome_of(records).lookup_latency_ms(99) == pytest.approx(1000, rel=0.01)


def test_late_answers_do_not_count_as_goodput():
    """Fails if answers after the timeout count as answers in time."""
    in_time = [make_record(number, 0.01) for number in range(10, 20)]
    late = [make_record(number, 1.05) for number in range(10, 14)]
    refused = [make_record(11, 0.001, status=503, outcome="refused", kind="statement")]
    found = outcome_of(in_time + late + refused, resends=3)
    assert found.goodput_per_s == pytest.approx(5.0)
    assert found.shed_count("statement") == 1
    assert found.shed_count("lookup") == 0
    assert found.amplification == pytest.approx(1.2)


def test_late_load_generator_is_reported():
    """Fails if a caller process without enough CPU time looks like a slow system."""
    late = [
        dataclasses.replace(make_record(number, 0.5), sent=number / 10 + 0.3)
        for number in range(9)
    ]
    assert outcome_of(late).send_delay_p99_ms == pytest.approx(300)


@pytest.mark.parametrize("made_set", [policy._deployment(), policy._chain_deployment()])
def test_deployments_have_the_sizes_of_the_design(made_set):
    """Fails if the bench measures a smaller fleet than it states."""
    sizes = sorted(len(one.backend_servers) for one in made_set.groups_by_name.values())
    assert sizes in ([3, 3, 3, 5], [3, 3])
    # The cluster replaces the placeholder addresses.
    assert not [one for one in check.check(made_set) if "address" not in str(one)]
