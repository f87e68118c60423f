"""Tests of the record of servers that refused a caller for its share."""

import pytest

from laburnumford_mesh import frames, share_holds
from laburnumford_policy.placement import server_view


@pytest.fixture
def holds():
    """Returns an empty record."""
    return share_holds.ShareHolds()


@pytest.fixture
def view_by_id():
    """Returns views of two servers without a free slot."""
    return {server_id: _view(server_id, running=4) for server_id in ("a", "b")}


def _view(server_id, running):
    made = server_view.ServerView(
        server_id=server_id, round_trip_s=0.001, other_zone=False, slots=4
    )
    made.observe_load(
        now=0.0,
        sequence=1,
        running=running,
        waiting=0,
        concurrency_limit=4,
        slowness=1.0,
        slowness_age_s=0.0,
        slow_for_s=0.0,
    )
    return made


def _refusal(level, retry_after_s=1.0):
    load = frames.LoadReport("a", 1, 4, 9, 4, 1.0, 0.0, 0.0)
    return frames.Refusal(1, "overloaded", retry_after_s, load, level)


@pytest.mark.parametrize(
    ("level", "same_connection", "other_connection"),
    [(0, set(), set()), (1, {"a"}, {"a"}), (2, {"a"}, {"a"}), (3, {"a"}, set())],
)
def test_hold_applies_to_the_level_of_the_refusal(
    holds, view_by_id, level, same_connection, other_connection
):
    """Guards against a flood that goes on, and against holding callers that are not part of it."""
    holds.observe("k", 7, _refusal(level), 1.0)
    assert holds.held_server_ids("k", 7, view_by_id, 1.0)[0] == same_connection
    assert holds.held_server_ids("k", 8, view_by_id, 1.0)[0] == other_connection
    assert holds.held_server_ids("l", 7, view_by_id, 1.0)[0] == set()


def test_hold_ends_soon_and_tells_when(holds, view_by_id):
    """Guards against a server that runs empty while its callers are held."""
    holds.observe("k", 7, _refusal(1, retry_after_s=9.0), 1.0)
    held, wait_s = holds.held_server_ids("k", 7, view_by_id, 1.0)
    assert held
    assert 0 < wait_s <= 0.05
    assert holds.held_server_ids("k", 7, view_by_id, 1.05)[0] == set()


def test_server_with_a_free_slot_is_not_held(holds, view_by_id):
    """Guards against refusing a caller although a server is known to be idle."""
    holds.observe("k", 7, _refusal(1), 1.0)
    view_by_id["a"] = _view("a", running=0)
    assert holds.held_server_ids("k", 7, view_by_id, 1.0)[0] == set()


def test_record_is_bounded(holds, view_by_id):
    """Guards against memory that grows with the number of connections."""
    for connection in range(1, 10_000):
        holds.observe("k", connection, _refusal(3), 1.0)
    assert holds.held_server_ids("k", 9_999, view_by_id, 1.0)[0] == set()
    holds.observe("k", 9_999, _refusal(3), 2.0)
    assert holds.held_server_ids("k", 9_999, view_by_id, 2.0)[0] == {"a"}
