"""Tests of `Admission` in the simulation of a server."""

import pytest

from laburnumford_policy.admission.tests import server_model

SLOW = server_model.Scenario(slow_from_s=2.0, slow_until_s=6.0, length_s=10.0)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("spread", "work_by_priority"),
    [(0.5, {}), (1.0, {}), (0.5, {"upload": 8.0, "statement": 4.0})],
)
def test_goodput_at_twice_the_capacity_is_at_least_95_percent(seed, spread, work_by_priority):
    """Fails if an overloaded server spends its capacity on answers that come too late."""
    scenario = server_model.Scenario(load=2.0, spread=spread, work_by_priority=work_by_priority)
    outcomes = server_model.Model(scenario, seed).run()
    assert outcomes.goodput(scenario) >= 0.95
    assert outcomes.most_running <= scenario.slots
    served = {name: outcomes.in_time[name] / outcomes.arrived[name] for name in outcomes.arrived}
    assert served["lookup"] > 0.9 > 0.1 > served["statement"]


@pytest.mark.parametrize("name", ["aimd", "gradient"])
@pytest.mark.parametrize("slots", [6, 12])
def test_limit_follows_a_server_that_slows_down_tenfold_and_recovers(name, slots):
    """Fails if the limit of a slow server stays high or that of a recovered one stays low."""
    scenario = server_model.Scenario(slots=slots, slow_from_s=2.0, slow_until_s=6.0, length_s=10.0)
    outcomes = server_model.Model(scenario, 1, limiter_name=name).run()
    assert {limit for at, limit in outcomes.limits if at < 2.0} == {slots}
    assert max(limit for at, limit in outcomes.limits if 4.0 <= at < 6.0) <= slots // 2
    assert min(limit for _, limit in outcomes.limits) >= 1
    assert outcomes.recovery_s(scenario) < 2.0
    assert outcomes.started_expired == 0


def test_limiter_answers_more_than_fixed_slots_while_the_server_is_slow():
    """Fails if the default limiter gives no more answers in time than a constant limit."""
    fixed = server_model.Model(SLOW, 1, limiter_name="fixed").run()
    default = server_model.Model(SLOW, 1).run()
    assert default.in_time_while_slow > 1.1 * fixed.in_time_while_slow
    assert default.late < fixed.late


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("kind", "baseline", "share"), [("latency", "fixed", 0.6), ("shared", "gradient", 0.9)]
)
def test_probing_limiter_keeps_the_throughput_of_a_server_that_waits_for_another(
    seed, kind, baseline, share
):
    """Fails if a low limit reduces the throughput, or if the probes reduce it themselves."""
    scenario = server_model.Scenario(kind=kind, slow_from_s=5.0, slow_until_s=15.0, length_s=20.0)
    other = server_model.Model(scenario, seed, limiter_name=baseline).run()
    probing = server_model.Model(scenario, seed, limiter_name="gradient-probing").run()
    assert probing.in_time_while_slow > share * other.in_time_while_slow
    assert probing.recovery_s(scenario) < 2.0
