"""Tests of the requests that a stopping process still takes."""

import math

import hypothesis
import pytest
from hypothesis import strategies

from laburnumford_policy.placement import stop_window

_SECONDS = strategies.floats(0, 30)


@pytest.fixture
def window():
    """Returns the last 6 s of a process that is told to stop at 100."""
    return stop_window.StopWindow(started_s=100.0, grace_s=6.0)


def test_work_that_lasts_as_long_as_the_rest_of_the_grace_is_refused(window):
    """Guards against bookings that are taken and cut at the end (issue 40).

    Load pattern: bookings of 3 s with a time-out of 6 s that come 2.5 s after the signal.
    """
    assert not window.can_finish(102.5, 108.5, 3.0)
    assert not window.can_finish(102.5, 108.5, math.inf)


def test_short_work_is_taken_until_half_of_the_grace(window):
    """Guards against refusing requests that the process can answer."""
    assert window.is_open(102.9)
    assert window.can_finish(102.9, 108.9, 1.0)
    assert window.can_finish(102.9, 103.9, math.inf)
    assert not window.is_open(103.0)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    grace_s=_SECONDS, arrived_s=_SECONDS, remaining_s=_SECONDS, service_time_s=_SECONDS
)
def test_taken_request_is_decided_before_the_connections_close(
    grace_s, arrived_s, remaining_s, service_time_s
):
    """Guards against a request without an answer at the end, if it takes its usual time."""
    found = stop_window.StopWindow(started_s=0.0, grace_s=grace_s)
    if not found.can_finish(arrived_s, arrived_s + remaining_s, service_time_s):
        return
    decided_s = min(arrived_s + service_time_s, arrived_s + remaining_s)
    assert decided_s < found.closes_s
    assert found.limit(arrived_s + remaining_s) < found.closes_s


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(grace_s=strategies.floats(1, 60))
def test_connections_close_before_the_process_is_killed(grace_s):
    """Guards against a process that is killed while it closes."""
    found = stop_window.StopWindow(started_s=0.0, grace_s=grace_s)
    assert 0 < found.accepts_until_s <= found.closes_s < grace_s
