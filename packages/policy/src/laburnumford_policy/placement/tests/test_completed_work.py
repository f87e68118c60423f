"""Tests of the measured capacity of a server."""

import pytest

from laburnumford_policy.placement import completed_work


def test_capacity_is_unknown_without_waiting_requests():
    """Guards against taking the demand of an idle server for its capacity.

    Load: one request a second, none of which waits.
    """
    measured = completed_work.CompletedWork()
    for second in range(1, 20):
        measured.observe_queue(float(second), contended=False)
        measured.observe_completed(second + 0.1, 0.1)
    assert measured.capacity(20.0) == 0


def test_capacity_is_the_completed_work_while_requests_wait():
    """Guards against counting the slots of a server that is slowed down.

    Load: a server completes 2 s of work a second for 5 s, then has nothing to do for 3 s.
    """
    measured = completed_work.CompletedWork()
    for step in range(100):
        now = 10.0 + step * 0.05
        measured.observe_queue(now, contended=True)
        measured.observe_completed(now, 0.1)
    measured.observe_queue(15.0, contended=False)
    assert measured.capacity(15.0) == pytest.approx(2.0, rel=0.1)
    assert measured.capacity(18.0) == pytest.approx(2.0, rel=0.1)
    assert measured.capacity(60.0) == 0
