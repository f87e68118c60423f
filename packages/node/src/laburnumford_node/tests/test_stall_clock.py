"""Tests of the arrival times of requests after a stall of the event loop."""

import pytest

from laburnumford_node import stall_clock


@pytest.fixture
def now():
    """Returns a list whose only item is the current time in seconds."""
    return [100.0]


@pytest.fixture
def stalls(now):
    """Returns a stall clock that reads the time from `now`."""
    return stall_clock.StallClock(clock=lambda: now[0])


def test_request_without_a_stall_is_dated_now(now, stalls):
    """Guards against requests that appear older than they are on a node that was not paused."""
    now[0] = 100.02
    stalls.tick()
    now[0] = 100.03
    assert stalls.received_at() == 100.03


def test_request_read_before_the_first_tick_is_dated_from_the_pause(now, stalls):
    """Guards against running a request long after its caller has given up."""
    now[0] = 101.5
    assert stalls.received_at() == 100.0


def test_backlog_after_the_first_tick_is_dated_from_the_pause(now, stalls):
    """Guards against late requests that are read some iterations of the event loop later."""
    now[0] = 101.5
    stalls.tick()
    now[0] = 101.52
    assert stalls.received_at() == 100.0
    for at in (101.52, 101.54, 101.56, 101.58, 101.6):
        now[0] = at
        stalls.tick()
    now[0] = 101.61
    assert stalls.received_at() == 101.61
    assert stalls.stalls_count == 1


def test_late_ticks_extend_the_backlog(now, stalls):
    """Guards against accepting late requests on a busy node that reads its backlog slowly."""
    now[0] = 101.5
    stalls.tick()
    now[0] = 101.58
    stalls.tick()
    now[0] = 101.65
    assert stalls.received_at() == 100.0


def test_wait_for_the_first_version_is_not_a_stall(now, stalls):
    """Guards against a timeout of the first requests of a node that took long to start.

    A wait for the first version was taken for a stall, so requests were dated from before it.
    In 4 of 12 runs of test_proxies_stand_between_node_and_server under load, the node answered
    504 after 60 ms although the timeout was 5 s.
    """
    now[0] = 105.0
    stalls.begin()
    now[0] = 105.01
    assert stalls.received_at() == 105.01
    stalls.tick()
    assert stalls.stalls_count == 0
