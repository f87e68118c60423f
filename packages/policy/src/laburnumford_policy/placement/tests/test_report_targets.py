"""Tests of which callers receive load reports of a server."""

import random

import pytest

from laburnumford_policy.placement import report_targets

_SPEED_CHANGE_INTERVAL_S = 0.15
_DURATION_S = 30.0


def _simulate(nodes, calls_per_s, seed):
    """Simulates calls of random nodes to one server.

    Returns:
        Mean number of reports at each change of speed, and the share of the calls whose node
        had received a report of the last change before them.
    """
    generator = random.Random(seed)
    targets = report_targets.ReportTargets()
    now, next_change_s, reports, changes = 0.0, _SPEED_CHANGE_INTERVAL_S, 0, 0
    informed: set[str] = set()
    calls = informed_calls = 0
    while now < _DURATION_S:
        now += generator.expovariate(calls_per_s)
        while next_change_s < now:
            informed = set(targets.targets(next_change_s))
            reports += len(informed)
            changes += 1
            next_change_s += _SPEED_CHANGE_INTERVAL_S
        node = str(generator.randrange(nodes))
        calls += 1
        informed_calls += node in informed
        targets.observe_call(node, now)
        informed.add(node)  # The answer to its call carries a report.
    return reports / changes, informed_calls / calls


@pytest.mark.parametrize("seed", range(5))
def test_rare_callers_of_a_large_fleet_get_no_reports(seed):
    """Guards against reports that are outdated before their receiver calls again.

    Load pattern: 80 nodes together call a server six times a second.
    """
    reports_per_change, _ = _simulate(80, 6.0, seed)
    assert reports_per_change <= 3.0


@pytest.mark.parametrize("seed", range(5))
def test_frequent_callers_get_reports(seed):
    """Guards against a frequent caller that sends requests to a server in a slowdown.

    Load pattern: 14 nodes together call a server a hundred times a second.
    """
    _, informed_share = _simulate(14, 100.0, seed)
    assert informed_share >= 0.75


def test_reports_after_a_burst_of_callers_are_bounded():
    """Guards against reports that congest a link of low bandwidth after a burst of calls."""
    targets = report_targets.ReportTargets()
    for number in range(100):
        targets.observe_call(str(number), 1.0)
    assert len(targets.targets(1.0)) <= 12
    assert targets.targets(1.0)[-1] == "99"
    assert targets.targets(2.0) == []
