"""Tests of the places kept for promised requests."""

import pytest

from laburnumford_policy.placement import kept_places


@pytest.fixture
def places():
    """Returns three places that were kept at 1.0."""
    made = kept_places.KeptPlaces()
    for _ in range(3):
        made.keep(1.0)
    return made


def test_arrived_request_uses_one_place(places):
    """Guards against a request that counts twice, as promised and as waiting."""
    places.use(1.1)
    assert places.count(1.1) == 2


def test_place_of_a_lost_request_is_given_up(places):
    """Guards against a server that refuses work for bodies that never arrive."""
    assert places.count(1.4) == 3
    assert places.count(2.0) == 0


def test_late_request_uses_no_place_of_another(places):
    """Guards against an error, or a wrong count, when a body arrives after its place went."""
    places.use(2.0)
    places.keep(2.0)
    assert places.count(2.1) == 1
