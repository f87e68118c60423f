"""Tests of the probe schedule."""

import itertools
import random

import pytest

from laburnumford_policy import measuring


def create(seed=1, calls=2.0, gap_s=1.0):
    """Returns a schedule with its budget."""
    budget = measuring.MeasuringBudget(calls_per_s=calls, bytes_per_s=10_000.0, cpu_ms_per_s=10.0)
    schedule = measuring.ProbeSchedule(
        generator=random.Random(seed),
        budget=budget,
        cost=measuring.Cost(calls=1, bytes=300, cpu_ms=0.2),
        gap_s=gap_s,
    )
    return schedule, budget


def probes(schedule, duration_s, step_s=0.01):
    """Returns the times at which a probe was admitted."""
    times = [step * step_s for step in range(int(duration_s / step_s))]
    return [now for now in times if schedule.admit(now)]


def test_no_probe_while_calls_are_seen():
    """Guards against probes of a server whose state is known from calls."""
    schedule, _ = create()
    sent = 0
    for step in range(1000):
        schedule.observe_call(step * 0.05)
        sent += schedule.admit(step * 0.05 + 0.04)
    assert sent == 0


def test_idle_server_is_probed_after_each_gap():
    """Guards against an idle server whose state is unknown."""
    schedule, _ = create()
    times = probes(schedule, 60.0)
    assert 40 <= len(times) <= 60
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert min(gaps) >= 0.99
    assert max(gaps) <= 1.52


def test_probe_is_admitted_at_its_due_time():
    """Guards against a timer that repeatedly fires too early."""
    schedule, _ = create()
    schedule.observe_call(0.0)
    schedule.admit(0.0)
    due = schedule.due_at(0.0)
    assert not schedule.admit(due - 0.001)
    assert schedule.admit(due)


def test_probes_stay_within_budget_without_any_call():
    """Guards against a surge of probes when no server answers any call."""
    for seed in range(50):
        schedule, budget = create(seed=seed, calls=0.5, gap_s=0.1)
        times = probes(schedule, 60.0)
        assert 20 <= len(times) <= 30
        assert all(later - earlier >= 2.0 for earlier, later in itertools.pairwise(times))
        assert budget.share_used(60.0) <= 1.2


def test_nodes_do_not_probe_at_the_same_time():
    """Guards against synchronized probes of many nodes after a common failure."""
    first = [probes(create(seed=seed)[0], 3.0)[0] for seed in range(50)]
    assert max(first) - min(first) >= 0.4


def test_gap_outside_its_range_is_rejected():
    """Guards against a gap of zero, which would admit a probe at every check."""
    with pytest.raises(measuring.MeasuringParameterError, match="gap_s is 0"):
        create(gap_s=0)
