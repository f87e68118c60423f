"""Tests of who is told how loaded a server is."""

import random

import pytest

from laburnumford_policy.placement import report_targets

_SPEED_STEP_S = 0.15
_LENGTH_S = 30.0


def _told(nodes, calls_per_s, seed):
    """Plays calls of random nodes to one server.

    Returns:
        Messages to callers at each change of speed, and the share of the calls whose node
        was told of the last change before them.
    """
    generator = random.Random(seed)
    targets = report_targets.ReportTargets()
    now, next_change_s, messages, changes = 0.0, _SPEED_STEP_S, 0, 0
    informed: set[str] = set()
    calls = told = 0
    while now < _LENGTH_S:
        now += generator.expovariate(calls_per_s)
        while next_change_s < now:
            informed = set(targets.targets(next_change_s))
            messages += len(informed)
            changes += 1
            next_change_s += _SPEED_STEP_S
        node = str(generator.randrange(nodes))
        calls += 1
        told += node in informed
        targets.observe_call(node, now)
        informed.add(node)  # Its answer carries a report.
    return messages / changes, told / calls


@pytest.mark.parametrize("seed", range(5))
def test_rare_callers_of_a_large_fleet_are_not_told(seed):
    """Guards against reports that are outdated before their receiver calls again.

    Load pattern: 80 nodes call a server six times a second together.
    """
    messages, _ = _told(80, 6.0, seed)
    assert messages <= 3.0


@pytest.mark.parametrize("seed", range(5))
def test_frequent_callers_are_told(seed):
    """Guards against a busy caller that sends work into a slow spell.

    Load pattern: 14 nodes call a server a hundred times a second together.
    """
    _, told_share = _told(14, 100.0, seed)
    assert told_share >= 0.75


def test_burst_of_callers_is_bounded():
    """Guards against a storm of reports on a narrow link after a burst of calls."""
    targets = report_targets.ReportTargets()
    for number in range(100):
        targets.observe_call(str(number), 1.0)
    assert len(targets.targets(1.0)) <= 12
    assert targets.targets(1.0)[-1] == "99"
    assert targets.targets(2.0) == []
