"""Tests of the interval between health checks."""

import pytest

from laburnumford_policy.placement import check_interval

_STEP_S = 1 / 1024


def _checks_within(interval, start_s, answer):
    """Returns the number of checks that start in 8 s, each answered at once."""
    started = 0
    for step in range(8 * 1024):
        now = start_s + step * _STEP_S
        if interval.is_due(now):
            interval.observe_start(now)
            started += 1
            answer()
    return started


@pytest.fixture
def interval():
    """Returns an interval of 16 ms to 1 s."""
    return check_interval.CheckInterval(min_s=16 * _STEP_S, max_s=1.0)


def test_valid_answers_keep_the_shortest_interval(interval):
    """Guards against speeds that are known late."""
    assert _checks_within(interval, 0, interval.observe_answer) == 512


def test_invalid_answers_widen_the_interval(interval):
    """Guards against a server that costs the node a read up to the limit 50 times a second.

    Load pattern: a server that floods the answers to its health checks (issue 40).
    """
    assert _checks_within(interval, 0, interval.observe_invalid_answer) < 16


def test_one_valid_answer_ends_the_wide_interval(interval):
    """Guards against a server that is checked rarely although it answers again."""
    _checks_within(interval, 0, interval.observe_invalid_answer)
    interval.observe_answer()
    assert _checks_within(interval, 9, interval.observe_answer) == 512
