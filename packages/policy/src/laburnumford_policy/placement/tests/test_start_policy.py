"""Tests of the decision whether a request starts on a slow server."""

import pytest

from laburnumford_policy.placement import start_policy

NORMAL_SPEED = start_policy.Speed(slowness=1.0, slow_for_s=0.0)
NEW_SLOWDOWN = start_policy.Speed(slowness=5.0, slow_for_s=0.0)
LONG_SLOWDOWN = start_policy.Speed(slowness=5.0, slow_for_s=3.0)


def test_request_starts_at_normal_speed():
    """Guards against delaying requests without any gain."""
    assert start_policy.should_start_now(speed=NORMAL_SPEED, service_time_s=0.09, remaining_s=0.8)


def test_long_request_waits_for_the_end_of_a_new_slowdown():
    """Guards against five times the normal service time because of a short slowdown."""
    assert not start_policy.should_start_now(
        speed=NEW_SLOWDOWN, service_time_s=0.09, remaining_s=0.8
    )


def test_short_request_starts_during_a_slowdown():
    """Guards against waiting longer than the slow run itself takes."""
    assert start_policy.should_start_now(speed=NEW_SLOWDOWN, service_time_s=0.02, remaining_s=0.8)


def test_request_starts_during_a_long_slowdown():
    """Guards against delaying requests for seconds on a server that stays slow."""
    assert start_policy.should_start_now(speed=LONG_SLOWDOWN, service_time_s=0.09, remaining_s=0.8)


def test_request_that_would_miss_its_deadline_keeps_waiting():
    """Guards against starting a run that certainly misses its deadline."""
    assert not start_policy.should_start_now(
        speed=LONG_SLOWDOWN, service_time_s=0.2, remaining_s=0.8
    )


def test_expected_completion_is_the_earlier_of_both():
    """Guards against avoiding a server for a long time because of a short slowdown."""
    assert (
        start_policy.expected_completion_s(NEW_SLOWDOWN, 0.09)
        == start_policy.MIN_REMAINING_SLOWDOWN_S + 0.09
    )
    assert start_policy.expected_completion_s(LONG_SLOWDOWN, 0.09) == pytest.approx(0.45)
