"""Tests of the selection among servers whose speed changes."""

import random

import pytest

from laburnumford_policy.placement import placement, server_view


def _view(server_id, *, round_trip_s=0.0, other_zone=False, slots=4):
    return server_view.ServerView(
        server_id=server_id, round_trip_s=round_trip_s, other_zone=other_zone, slots=slots
    )


def _report(target, now, *, sequence=1, running=0, waiting=0, slowness=1.0, slow_for_s=0.0):
    target.observe_load(
        now=now,
        sequence=sequence,
        running=running,
        waiting=waiting,
        concurrency_limit=4,
        slowness=slowness,
        slowness_age_s=0.0,
        slow_for_s=slow_for_s,
    )


@pytest.fixture
def chooser():
    """Returns a placement with two servers in the own zone and one in another."""
    made = placement.Placement(generator=random.Random(1))
    made.apply([_view("a"), _view("b"), _view("c", round_trip_s=0.003, other_zone=True)])
    return made


def _choose(chooser, now, *, body_bytes=0, excluded=(), soft_remaining_s=0.3):
    return chooser.choose(now, "k", 0.09, body_bytes, excluded, soft_remaining_s).server_id


def test_server_in_a_slowdown_is_avoided_at_once(chooser):
    """Guards against sending requests to a server that has just reported a slowdown.

    Load pattern: another VM on the same machine slows one server by a factor of five for 150 ms.
    """
    _report(chooser.views_by_id["a"], 1.0, slowness=5.0)
    _report(chooser.views_by_id["b"], 1.0)
    assert {_choose(chooser, 1.01, excluded={"c"}) for _ in range(20)} == {"b"}


def test_server_is_used_again_after_its_slowdown(chooser):
    """Guards against a server that stays unused after its slowdown has ended."""
    _report(chooser.views_by_id["a"], 1.0, slowness=5.0)
    _report(chooser.views_by_id["b"], 1.0, running=4, waiting=1)
    assert _choose(chooser, 1.01, excluded={"c"}) == "b"
    assert _choose(chooser, 3.0, excluded={"c"}) == "a"


def test_own_calls_count_until_the_next_report(chooser):
    """Guards against sending a whole burst to the server with the best report.

    Load pattern: a burst arrives between two reports.
    """
    for each in chooser.views_by_id.values():
        _report(each, 1.0)
    counts = {"a": 0, "b": 0, "c": 0}
    for _ in range(30):
        chosen = chooser.choose(1.0, "k", 0.09, 0)
        chosen.observe_sent()
        counts[chosen.server_id] += 1
    assert max(counts.values()) <= 14


def test_request_with_large_body_stays_in_its_zone(chooser):
    """Guards against traffic between zones that gains only some milliseconds."""
    _report(chooser.views_by_id["a"], 1.0, running=4, waiting=4)
    _report(chooser.views_by_id["b"], 1.0, running=4, waiting=4)
    _report(chooser.views_by_id["c"], 1.0)
    assert _choose(chooser, 1.0, body_bytes=60_000) in {"a", "b"}
    assert _choose(chooser, 1.0, body_bytes=0) == "c"


def test_upload_far_from_its_soft_deadline_waits_in_its_zone(chooser):
    """Guards against traffic between zones for an upload that is in time in its own zone too.

    Load pattern: the servers of a zone have a backlog of some tenths of a second, and uploads
    have a second until their soft deadline.
    """
    _report(chooser.views_by_id["a"], 1.0, running=4, waiting=16)
    _report(chooser.views_by_id["b"], 1.0, running=4, waiting=16)
    _report(chooser.views_by_id["c"], 1.0)
    assert _choose(chooser, 1.0, body_bytes=60_000, soft_remaining_s=1.05) in {"a", "b"}
    assert _choose(chooser, 1.0, body_bytes=60_000, soft_remaining_s=0.3) == "c"


def test_failing_server_is_avoided_and_tried_again_later(chooser):
    """Guards against preferring a server that fails fast and so reports the lowest load."""
    for _ in range(20):
        chooser.views_by_id["a"].observe_result(now=1.0, failed=True)
    assert {_choose(chooser, 1.0, excluded={"c"}) for _ in range(20)} == {"b"}
    assert "a" in {_choose(chooser, 30.0, excluded={"c"}) for _ in range(50)}


def test_reordered_older_report_is_ignored(chooser):
    """Guards against an old datagram that replaces a newer report."""
    _report(chooser.views_by_id["a"], 1.0, sequence=5, running=4, waiting=8)
    _report(chooser.views_by_id["a"], 1.0, sequence=4)
    assert not chooser.views_by_id["a"].has_free_slot(0.0)


def test_blocked_and_excluded_servers_are_not_selected(chooser):
    """Guards against sending a request again to the server that has refused it."""
    chooser.views_by_id["b"].blocked_until_s = 2.0
    assert _choose(chooser, 1.0, excluded={"a"}) == "c"
    assert chooser.choose(1.0, "k", 0.09, 0, {"a", "c"}) is None


def test_known_servers_keep_their_learned_state(chooser):
    """Guards against losing the count of outstanding calls when an entry changes."""
    known = chooser.views_by_id["a"]
    chooser.apply([_view("a"), _view("d")])
    assert chooser.views_by_id["a"] is known
    assert set(chooser.views_by_id) == {"a", "d"}
