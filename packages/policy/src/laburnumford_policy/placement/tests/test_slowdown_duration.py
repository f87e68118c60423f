"""Load pattern: other VMs slow a server down, for longer on some fleets than on others."""

import pytest

from laburnumford_policy.placement import server_view, slowdown_duration, start_policy

REPORT_INTERVAL_S = 0.02


def _learned(duration_s, *, report_interval_s=REPORT_INTERVAL_S, count=20):
    made = slowdown_duration.SlowdownDuration()
    now = 0.0
    for _ in range(count):
        for slow, length_s in ((False, 0.5), (True, duration_s)):
            until_s = now + length_s
            while now < until_s:
                made.observe(now, slow=slow)
                now += report_interval_s
    return made


@pytest.mark.parametrize("duration_s", [0.15, 0.5])
def test_duration_of_slowdowns_is_learned(duration_s):
    """Guards against a duration that fits one fleet only."""
    assert _learned(duration_s).mean_s == pytest.approx(duration_s, rel=0.15)


def test_sparse_reports_teach_nothing():
    """Guards against the time between two reports that counts as the duration of a slowdown."""
    learned = _learned(0.15, report_interval_s=0.3)
    assert learned.mean_s == slowdown_duration.DEFAULT_S


def test_lasting_slowness_does_not_count_without_bound():
    """Guards against a server that stays slow for a minute and is waited for as long later."""
    assert _learned(60.0, count=2).mean_s <= 1.0


def test_request_does_not_wait_for_a_long_slowdown():
    """Guards against waiting longer for the end of a slowdown than the slow run takes."""
    short = start_policy.Speed(slowness=5.0, slow_for_s=0.0, mean_slowdown_s=0.15)
    long = start_policy.Speed(slowness=5.0, slow_for_s=0.0, mean_slowdown_s=0.8)
    assert not start_policy.should_start_now(speed=short, service_time_s=0.09, remaining_s=1.0)
    assert start_policy.should_start_now(speed=long, service_time_s=0.09, remaining_s=1.0)


def test_report_of_a_long_slowdown_is_valid_for_longer():
    """Guards against sending requests to a server in the middle of a long slowdown."""
    latency_by_duration = {}
    for duration_s in (0.15, 0.6):
        view = server_view.ServerView(server_id="a", round_trip_s=0.0, other_zone=False, slots=4)
        view.observe_load(
            now=1.0,
            sequence=1,
            running=0,
            waiting=0,
            concurrency_limit=4,
            slowness=5.0,
            slowness_age_s=0.0,
            slow_for_s=0.0,
            mean_slowdown_s=duration_s,
        )
        latency_by_duration[duration_s] = view.expected_latency_s(1.25, 0.3)
    assert latency_by_duration[0.6] > latency_by_duration[0.15]
