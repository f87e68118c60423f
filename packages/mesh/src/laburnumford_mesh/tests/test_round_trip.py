"""Tests of the measurement of round trips."""

import pytest

from laburnumford_mesh import round_trip


def test_pongs_are_paired_with_pings_in_order():
    """Guards against a round trip that is too short because a pong answers an earlier ping.

    Load pattern: the second ping is sent before the answer to the first one arrives.
    """
    measured = round_trip.RoundTrip()
    measured.observe_ping(1.0)
    measured.observe_ping(1.2)
    assert measured.observe_pong(1.21) == pytest.approx(0.21)
    assert measured.observe_pong(1.22) == pytest.approx(0.02)
    assert measured.observe_pong(1.23) is None


def test_pings_of_a_replaced_stream_do_not_count():
    """Guards against a round trip that includes the time without a stream."""
    measured = round_trip.RoundTrip()
    measured.observe_ping(1.0)
    measured.reset()
    measured.observe_ping(5.0)
    assert measured.observe_pong(5.004) == pytest.approx(0.004)


def test_ping_behind_a_body_does_not_raise_the_round_trip():
    """Guards against a far zone that is only busy at the moment."""
    measured = round_trip.RoundTrip()
    for sent_s, took_s in ((1.0, 0.004), (20.0, 0.3)):
        measured.observe_ping(sent_s)
        found = measured.observe_pong(sent_s + took_s)
    assert found == pytest.approx(0.004)


def test_measurement_is_rare_and_never_concurrent():
    """Guards against pings that cost more than the budget for control messages."""
    measured = round_trip.RoundTrip()
    assert measured.is_due(100.0)
    measured.observe_ping(100.0)
    assert not measured.is_due(200.0)
    measured.observe_pong(200.0)
    assert not measured.is_due(105.0)
    assert measured.is_due(200.0)
