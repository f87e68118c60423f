"""Tests of the reservations for accepted offers."""

import pytest

from laburnumford_policy.placement import reservations


@pytest.fixture
def places():
    """Returns three reservations made at 1.0."""
    made = reservations.Reservations()
    for _ in range(3):
        made.add(1.0)
    return made


def test_arrived_request_uses_one_place(places):
    """Guards against counting a request twice, as reserved and as waiting."""
    places.use(1.1)
    assert places.count(1.1) == 2


def test_reservation_of_a_lost_request_expires(places):
    """Guards against a server that refuses requests because of bodies that never arrive."""
    assert places.count(1.4) == 3
    assert places.count(2.0) == 0


def test_late_request_uses_no_place_of_another(places):
    """Guards against an error or a wrong count if a body arrives after its reservation expired."""
    places.use(2.0)
    places.add(2.0)
    assert places.count(2.1) == 1
