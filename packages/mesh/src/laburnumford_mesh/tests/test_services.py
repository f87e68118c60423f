"""Tests of the state that a node keeps for servers across changes of their entries."""

import random

import pytest

from laburnumford_mesh import services, settings
from laburnumford_mesh.tests import conftest


@pytest.fixture
def learned():
    """Returns the state of a node that knows servers a and b of one service."""
    made = services.Services(
        zone="z",
        server_address="127.0.0.1:1",
        retry_budget=settings.RetryBudgetSettings(ratio=0.2, slack=60, window_s=10),
        generator=random.Random(1),
    )
    _apply(made)
    return made


def _apply(learned, *, started_ms=1):
    entries = [
        conftest.make_entry("a", "127.0.0.2:1", started_ms=started_ms),
        conftest.make_entry("b", "127.0.0.3:1"),
    ]
    learned.apply(entries, node_count=2)


def _ids(learned):
    return set(learned.state("s").placement.views_by_id)


def _exclude_a(learned):
    learned.exclude_leaving(learned.state("s").placement.views_by_id["a"])


def test_entry_does_not_bring_back_a_server_that_said_that_it_leaves(learned):
    """Guards against requests to a leaving server, because the store knows less than its answers."""
    _exclude_a(learned)
    assert _ids(learned) == {"b"}
    _apply(learned)
    assert _ids(learned) == {"b"}


def test_answer_that_follows_the_removal_of_the_entry_excludes_the_server(learned):
    """Guards against a delayed renewal after the last answer of a server."""
    view = learned.state("s").placement.views_by_id["a"]
    learned.apply([conftest.make_entry("b", "127.0.0.3:1")], node_count=2)
    learned.exclude_leaving(view)
    _apply(learned)
    assert _ids(learned) == {"b"}


def test_server_that_starts_again_under_its_id_is_used(learned):
    """Guards against a restarted server that gets no requests."""
    _exclude_a(learned)
    _apply(learned, started_ms=2)
    assert _ids(learned) == {"a", "b"}
    _exclude_a(learned)
    assert _ids(learned) == {"b"}


def _overflow_round_trip_s(learned, zone):
    return learned.state("s").overflow.round_trip_s(zone)


def test_measured_round_trip_to_a_zone_reaches_all_services(learned):
    """Guards against services that assume a distance between zones although it was measured."""
    learned.apply(
        [
            conftest.make_entry("a", "127.0.0.2:1"),
            conftest.make_entry("c", "127.0.0.4:1", zone="y"),
        ],
        node_count=2,
    )
    learned.observe_round_trip("127.0.0.4", 0.02)
    learned.observe_round_trip("127.0.0.2", 0.5)
    learned.observe_round_trip("127.0.0.9", 0.5)
    assert _overflow_round_trip_s(learned, "y") == 0.02
    assert learned.state("later").overflow.round_trip_s("y") == 0.02
    assert _overflow_round_trip_s(learned, "z") < 0.02


def test_round_trip_measured_before_the_entry_is_known_counts(learned):
    """Guards against a lost measurement.

    A starting node pulls values from a node before it knows the zone of that node.
    """
    learned.observe_round_trip("127.0.0.4", 0.02)
    learned.apply(
        [
            conftest.make_entry("a", "127.0.0.2:1"),
            conftest.make_entry("c", "127.0.0.4:1", zone="y"),
        ],
        node_count=2,
    )
    assert _overflow_round_trip_s(learned, "y") == 0.02


def test_measured_round_trip_does_not_change_the_choice_in_a_zone(learned):
    """Guards against a choice that differs from before while the zone has room."""
    view = learned.state("s").placement.views_by_id["a"]
    known_s = view.round_trip_s
    learned.observe_round_trip("127.0.0.2", 0.5)
    assert view.round_trip_s == known_s
