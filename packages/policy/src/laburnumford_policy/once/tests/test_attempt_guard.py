"""Tests of AttemptGuard and PauseDetector."""

import math

import pytest

from laburnumford_policy.once import attempt_guard, guard_decision, pause_detector

Outcome = guard_decision.GuardOutcome


@pytest.fixture
def guard():
    """Returns the guard of a connection whose hello was answered at 100 s."""
    return attempt_guard.AttemptGuard(nonce="n1", hello_at=100.0)


@pytest.mark.parametrize(
    ("nonce", "sent_ms"), [("n2", 0), (None, 0), ("", 0), ("é", 0), ("n1", None), ("n1", math.nan)]
)
def test_replay_on_another_connection_does_not_run(guard, nonce, sent_ms):
    """Fails if a request recorded on another connection runs."""
    assert guard.check(nonce, sent_ms, 1000, 100.0).outcome is Outcome.STALE_CONNECTION


def test_request_sent_before_the_previous_one_does_not_run(guard):
    """Fails if a request replayed on its own connection runs twice."""
    assert guard.check("n1", 500, 1000, 100.5).outcome is Outcome.RUN
    assert guard.check("n1", 499, 1000, 100.6).outcome is Outcome.STALE_CONNECTION


def test_transit_delay_shortens_the_remaining_time(guard):
    """Fails if a request that was delayed in transit gets its full timeout again."""
    assert guard.check("n1", 0, 1000, 100.002).remaining_s == pytest.approx(0.998, abs=1e-4)
    assert guard.check("n1", 1000, 1000, 101.302).remaining_s == pytest.approx(0.7, abs=0.002)


@pytest.mark.parametrize(("sent_ms", "timeout_ms", "now"), [(0, 1000, 101.5), (0, 0, 100.0)])
def test_expired_request_does_not_run(guard, sent_ms, timeout_ms, now):
    """Fails if a node that resumes late forwards a request whose deadline has passed."""
    decision = guard.check("n1", sent_ms, timeout_ms, now)
    assert (decision.outcome, decision.remaining_s) == (Outcome.DEADLINE_EXCEEDED, 0.0)


@pytest.mark.parametrize("rate", [0.9995, 1.0005])
def test_clocks_of_different_rate_do_not_expire_requests(guard, rate):
    """Fails if an hour of clock drift on a long-lived connection is taken for transit delay."""
    for second in range(0, 3600, 10):
        decision = guard.check("n1", second * 1000 * rate, 100, 100.001 + second)
        assert decision.remaining_s > 0.085
    late = guard.check("n1", 3600_000 * rate, 100, 100.001 + 3600.2)
    assert late.outcome is Outcome.DEADLINE_EXCEEDED


def test_gap_of_at_least_the_threshold_is_a_pause():
    """Fails if a pause is missed, or the gap between ordinary ticks is taken for one."""
    detector = pause_detector.PauseDetector(threshold_s=0.5)
    gaps = [detector.observe(now) for now in (10.0, 10.1, 10.4, 12.4, 12.5)]
    assert gaps == pytest.approx([0.0, 0.0, 0.0, 2.0, 0.0])
