"""Tests of the decision to start work on a slow server."""

import pytest

from laburnumford_policy.placement import start_policy

USUAL = start_policy.Speed(slowness=1.0, slow_for_s=0.0)
NEW_SPELL = start_policy.Speed(slowness=5.0, slow_for_s=0.0)
LONG_SPELL = start_policy.Speed(slowness=5.0, slow_for_s=3.0)


def test_work_starts_on_undisturbed_server():
    """Guards against holding work although nothing is gained by it."""
    assert start_policy.starts_now(speed=USUAL, work_s=0.09, left_s=0.8)


def test_long_work_waits_for_the_end_of_a_new_spell():
    """Guards against runs of five times the usual length at the start of a short spell."""
    assert not start_policy.starts_now(speed=NEW_SPELL, work_s=0.09, left_s=0.8)


def test_short_work_starts_in_a_spell():
    """Guards against waiting longer than the slow run itself takes."""
    assert start_policy.starts_now(speed=NEW_SPELL, work_s=0.02, left_s=0.8)


def test_work_starts_in_a_spell_that_does_not_end():
    """Guards against holding work for seconds on a server that stays slow."""
    assert start_policy.starts_now(speed=LONG_SPELL, work_s=0.09, left_s=0.8)


def test_work_that_would_be_too_late_keeps_waiting():
    """Guards against starting a run that certainly misses its deadline."""
    assert not start_policy.starts_now(speed=LONG_SPELL, work_s=0.2, left_s=0.8)


def test_expected_end_takes_the_better_way():
    """Guards against leaving a server for good because of a short spell."""
    assert start_policy.expected_end_s(NEW_SPELL, 0.09) == start_policy.SPELL_S + 0.09
    assert start_policy.expected_end_s(LONG_SPELL, 0.09) == pytest.approx(0.45)
