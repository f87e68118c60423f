"""Tests of the reservations for accepted offers."""

import pytest

from laburnumford_policy.placement import reservations


@pytest.fixture
def three_reservations():
    """Returns three reservations made at 1.0."""
    made = reservations.Reservations()
    for _ in range(3):
        made.add(1.0)
    return made


def test_arrived_request_uses_one_reservation(three_reservations):
    """Guards against counting a request twice, as reserved and as waiting."""
    three_reservations.use(1.1)
    assert three_reservations.count(1.1) == 2


def test_reservation_of_a_lost_request_expires(three_reservations):
    """Guards against a server that refuses requests because of bodies that never arrive."""
    assert three_reservations.count(1.4) == 3
    assert three_reservations.count(2.0) == 0


def test_late_request_uses_no_reservation_of_another(three_reservations):
    """Guards against an error or a wrong count if a body arrives after its reservation expired."""
    three_reservations.use(2.0)
    three_reservations.add(2.0)
    assert three_reservations.count(2.1) == 1
