"""Tests of the shares of one server's capacity."""

import pytest

from laburnumford_policy.placement import fair_share, share_excess, share_usage

COST_S = 0.1


@pytest.fixture
def share():
    """Returns shares without any usage."""
    return fair_share.FairShare()


def _add(share, entry_ids, request_class="k", vm="a", connection=1):
    for entry_id in entry_ids:
        share.add(entry_id, _claim(share, request_class, vm, connection))


def _claim(share, request_class="k", vm="a", connection=1):
    return share.claim(request_class, vm, connection, COST_S)


def test_only_caller_is_never_above_its_share(share):
    """Guards against refusing a caller for its share while nobody else wants the server."""
    _add(share, range(50))
    assert share.excess(_claim(share), 0.0).level == share_excess.ShareLevel.NONE


@pytest.mark.parametrize(
    ("other", "level"),
    [
        ({"request_class": "l"}, share_excess.ShareLevel.REQUEST_CLASS),
        ({"vm": "b"}, share_excess.ShareLevel.VM),
        ({"connection": 2}, share_excess.ShareLevel.CONNECTION),
    ],
)
def test_flood_is_above_its_share_at_the_level_of_the_others(share, other, level):
    """Guards against a flood that is not told apart from callers in another class, VM or line."""
    _add(share, range(10))
    _add(share, [10], **other)
    assert share.excess(_claim(share), 0.0).level == level
    assert share.excess(_claim(share, **other), 0.0).level == share_excess.ShareLevel.NONE
    assert share.most_above(_claim(share, **other), range(10), 0.0) == 9


def test_many_connections_take_nothing_from_callers_at_other_vms(share):
    """Guards against a caller that evades its share with a new connection for each request."""
    for number in range(10):
        _add(share, [number], connection=number)
    _add(share, [10], vm="b")
    fresh = _claim(share, connection=99)
    assert share.excess(_claim(share, connection=1), 0.0).level == share_excess.ShareLevel.VM
    assert share.most_above(fresh, [10], 0.0) is None


def test_caller_of_a_class_below_its_share_is_not_above_it(share):
    """Guards against refusing the busier VM of a class that is itself owed capacity."""
    _add(share, range(10), request_class="flood")
    _add(share, [10, 11, 12], vm="busy")
    _add(share, [13], vm="quiet")
    assert share.excess(_claim(share, vm="busy"), 0.0).rank == 0


def test_equal_callers_do_not_displace_each_other(share):
    """Guards against callers that displace each other in turn, so that none is served."""
    _add(share, range(5), vm="a")
    _add(share, range(5, 10), vm="b")
    assert share.most_above(_claim(share, vm="a"), range(10), 0.0) is None
    assert share.most_above(_claim(share, vm="b"), range(10), 0.0) is None


def test_use_without_contention_is_not_held_against_a_caller(share):
    """Guards against a caller that is refused because it used an idle server before."""
    _add(share, range(40), vm="a")
    for entry_id in range(40):
        share.finish(entry_id, 1.0, contended=False)
    _add(share, [40], vm="b")
    assert share.excess(_claim(share, vm="a"), 1.0).level == share_excess.ShareLevel.NONE


def test_contended_use_counts_for_some_seconds(share):
    """Guards against a flood that wins each place that becomes free, because it asks first."""
    _add(share, [0, 1], vm="a")
    _add(share, [2, 5], vm="b")
    share.finish(0, 1.0, contended=True)
    share.finish(1, 1.0, contended=True)
    _add(share, [3], vm="a")
    assert share.most_above(_claim(share, vm="b"), [3], 1.0) is None
    _add(share, [4], vm="a")
    assert share.most_above(_claim(share, vm="b"), [3, 4], 1.0) == 4
    assert share.excess(_claim(share, vm="a"), 1.0).level == share_excess.ShareLevel.VM
    later_s = 1.0 + 10 * share_usage.TIME_CONSTANT_S
    assert share.excess(_claim(share, vm="a"), later_s).level == share_excess.ShareLevel.NONE


def test_state_is_bounded(share):
    """Guards against memory that grows with the number of connections."""
    for number in range(30_000):
        _add(share, [number], connection=number)
    assert _claim(share, connection=40_000).connection == 0
    for number in range(30_000):
        share.remove(number)
    _add(share, [0])
    share.finish(0, 1000.0, contended=False)
    assert _claim(share, connection=40_000).connection == 40_000


def test_unused_offer_loses_its_weight(share):
    """Guards against an offer without a request that is held against its caller for ever."""
    for _ in range(10):
        share.charge(_claim(share, vm="a"), 0.0)
    _add(share, [1], vm="b")
    assert share.excess(_claim(share, vm="a"), 0.0).level == share_excess.ShareLevel.VM
    later_s = 10 * share_usage.TIME_CONSTANT_S
    assert share.excess(_claim(share, vm="a"), later_s).level == share_excess.ShareLevel.NONE
