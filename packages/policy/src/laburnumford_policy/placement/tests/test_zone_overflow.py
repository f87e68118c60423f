"""Tests of the decision which requests may leave the availability zone."""

import random
import typing

import hypothesis
import hypothesis.strategies as st
import pytest

from laburnumford_policy.placement import (
    link_budget,
    placement,
    server_view,
    zone_load,
    zone_overflow,
)

_SERVICE_TIME_S = 0.05
_SLOTS = 4
_STEP_S = 0.125
"""Time between two reports; a power of two, so that no update is skipped by rounding."""


class _Fleet:
    """Servers of one service in several zones, and the decision of one node in zone a."""

    def __init__(self, servers_by_zone, *, link_mbps=0.0, own_zone="a"):
        self.decision = zone_overflow.ZoneOverflow(
            own_zone=own_zone,
            generator=random.Random(1),
            link=link_budget.LinkBudget(link_mbps=link_mbps),
        )
        self.views_by_zone = {
            zone: [
                server_view.ServerView(
                    server_id=f"{zone}{index}",
                    round_trip_s=0.0,
                    other_zone=zone != own_zone,
                    slots=_SLOTS,
                    zone=zone,
                )
                for index in range(count)
            ]
            for zone, count in servers_by_zone.items()
        }
        self.now = 100.0
        self.sequence = 0
        self.apply()

    def apply(self, *, without=""):
        self.decision.apply(
            view for zone, views in self.views_by_zone.items() if zone != without for view in views
        )

    def report(self, occupancy_by_zone, slowness=1.0, **values):
        self.sequence += 1
        for zone, occupancy in occupancy_by_zone.items():
            for view in self.views_by_zone[zone]:
                view.observe_load(
                    now=self.now,
                    sequence=self.sequence,
                    running=round(occupancy * _SLOTS),
                    waiting=0,
                    concurrency_limit=_SLOTS,
                    slowness=slowness,
                    slowness_age_s=0.0,
                    slow_for_s=0.0,
                    **values,
                )

    def ask(self, *, size=1_000.0):
        return self.decision.candidates(self.now, _SERVICE_TIME_S, size)

    def run(self, occupancy_by_zone, seconds=2.0, **values):
        """Keeps an occupancy for some seconds; returns the share after each step."""
        shares = []
        for _ in range(round(seconds / _STEP_S)):
            self.now += _STEP_S
            self.report(occupancy_by_zone, **values)
            self.ask()
            shares.append(self.decision.share(self.now))
        return shares


def test_zone_with_room_restricts_nothing_and_draws_no_random_number():
    """Guards against a choice that differs from the one without the decision.

    Load: all zones at three quarters of their slots.
    """
    fleet = _Fleet({"a": 4, "b": 6})
    assert set(fleet.run({"a": 0.75, "b": 0.75})) == {0.0}
    assert fleet.ask() is None
    assert fleet.decision._generator.random() == random.Random(1).random()


def test_single_zone_restricts_nothing():
    """Guards against a decision in a fleet with one zone.

    Load: twice the slots.
    """
    fleet = _Fleet({"a": 4})
    assert set(fleet.run({"a": 2.0})) == {0.0}
    assert fleet.ask() is None


def test_excess_goes_to_the_zone_with_the_shortest_time():
    """Guards against sending to a zone that is farther away and as busy.

    Load: uneven zones; the own one has a queue, two others have room, one of them far away.
    """
    fleet = _Fleet({"a": 4, "b": 6, "c": 7})
    fleet.decision.observe_round_trip("b", 0.02)
    fleet.decision.observe_round_trip("c", 0.002)
    fleet.run({"a": 1.25, "b": 0.5, "c": 0.5})
    assert fleet.decision.share_by_zone["c"] > 0.3
    assert fleet.decision.share_by_zone.get("b", 0.0) < 0.1


def test_second_zone_takes_what_the_first_has_no_room_for():
    """Guards against more traffic to the nearest zone than it has room for.

    Load: the own zone is overloaded by half, the nearest one has a single server.
    """
    fleet = _Fleet({"a": 6, "b": 1, "c": 6})
    fleet.decision.observe_round_trip("b", 0.001)
    fleet.run({"a": 1.5, "b": 0.5, "c": 0.5})
    assert 0 < fleet.decision.share_by_zone["b"] < 0.15
    assert fleet.decision.share_by_zone["c"] > 0.4


def test_requests_stay_where_the_round_trip_exceeds_the_wait():
    """Guards against traffic between zones that makes callers wait longer.

    Load: requests of 50 ms, a quarter of a round of requests to be saved, zones 30 ms apart.
    """
    fleet = _Fleet({"a": 4, "b": 4})
    fleet.decision.observe_round_trip("b", 0.03)
    assert set(fleet.run({"a": 1.0, "b": 0.5})) == {0.0}


def test_two_nearly_full_zones_exchange_nothing():
    """Guards against requests that two zones without room send each other.

    Load: both zones alternate around 100 % of their slots, seen from either side.
    """
    for own in "ab":
        fleet = _Fleet({"a": 4, "b": 4}, own_zone=own)
        for step in range(40):
            high = 1.0 + (0.25 if step % 10 < 5 else 0.0)
            assert set(fleet.run({"a": high, "b": 2.25 - high}, seconds=_STEP_S)) == {0.0}


def test_share_does_not_oscillate_around_the_start():
    """Guards against a share that alternates with single reports.

    Load: an occupancy that alternates by a quarter with each report around the start.
    """
    fleet = _Fleet({"a": 4, "b": 6})
    fleet.run({"a": 1.25, "b": 0.5})
    shares = [
        fleet.run({"a": 1.0 if step % 2 else 1.25, "b": 0.5}, seconds=_STEP_S)[0]
        for step in range(40)
    ]
    assert min(shares) > 0
    assert max(shares[5:]) - min(shares[5:]) < 0.15


def test_short_burst_moves_nothing():
    """Guards against traffic between zones for a burst that ends before it arrives there.

    Load: three quarters of the slots, with an eighth of a second at 125 % in each second.
    """
    fleet = _Fleet({"a": 4, "b": 6})
    for _ in range(10):
        assert set(fleet.run({"a": 0.75, "b": 0.5}, seconds=7 * _STEP_S)) == {0.0}
        assert set(fleet.run({"a": 1.25, "b": 0.5}, seconds=_STEP_S)) == {0.0}


def test_share_grows_by_steps_and_is_reached_within_a_second():
    """Guards against a jump to another zone on the first report, and against a slow restart.

    Load: a node starts while its zone has twice as many requests as slots.
    """
    fleet = _Fleet({"a": 4, "b": 6})
    shares = fleet.run({"a": 2.0, "b": 0.25}, seconds=1.1)
    assert shares[0] <= 0.11
    assert shares[-1] > 0.9


def test_share_returns_to_zero_after_the_peak():
    """Guards against traffic between zones after the own zone has room again.

    Load: demand that swings by 55 % with a period of 13 s.
    """
    fleet = _Fleet({"a": 4, "b": 6})
    assert fleet.run({"a": 1.5, "b": 0.5}, seconds=4.0)[-1] > 0.3
    shares = fleet.run({"a": 0.5, "b": 0.5}, seconds=2.0)
    assert shares[-1] == 0
    assert fleet.ask() is None


def test_evacuated_zone_gets_nothing_at_once():
    """Guards against requests to a zone whose servers have been excluded.

    Load: the own zone is overloaded and sends to the zone that is evacuated.
    """
    fleet = _Fleet({"a": 4, "b": 6, "c": 6})
    fleet.decision.observe_round_trip("b", 0.001)
    fleet.run({"a": 1.5, "b": 0.5, "c": 0.5})
    assert fleet.decision.share_by_zone["b"] > 0
    fleet.apply(without="b")
    chosen = [view for _ in range(200) for view in fleet.ask() or ()]
    assert {view.zone for view in chosen} <= {"a", "c"}


def test_evacuated_own_zone_leaves_the_choice_to_the_expected_latencies():
    """Guards against a restriction to a zone without servers.

    Load: the own zone is evacuated while it is overloaded.
    """
    fleet = _Fleet({"a": 4, "b": 6, "c": 6})
    fleet.run({"a": 1.5, "b": 0.5, "c": 0.5})
    fleet.apply(without="a")
    assert fleet.ask() is None
    assert fleet.decision.share(fleet.now) == 0


def test_stale_reports_of_the_own_zone_end_the_overflow():
    """Guards against a share that follows reports of requests that have ended.

    Load: the reports of the own zone stop while it is overloaded.
    """
    fleet = _Fleet({"a": 4, "b": 6})
    assert fleet.run({"a": 1.5, "b": 0.5})[-1] > 0.3
    assert fleet.run({"b": 0.5}, seconds=2.5)[-1] == 0


@pytest.mark.parametrize("stale_occupancy", [0.0, 3.0])
def test_zone_with_stale_reports_is_tried_with_a_small_share(stale_occupancy):
    """Guards against following an old report of a zone that was idle or full then.

    Load: the own zone is overloaded, the other one has not been used for 10 s.
    """
    fleet = _Fleet({"a": 4, "b": 6})
    fleet.report({"b": stale_occupancy})
    fleet.now += 10.0
    assert fleet.run({"a": 1.75})[-1] == pytest.approx(0.05)


def test_one_known_slow_server_does_not_make_the_zone_short():
    """Guards against a share that follows a single server.

    Load: a node that sends few requests knows only one of six servers, which has a queue.
    """
    fleet = _Fleet({"a": 6, "b": 6})
    known = fleet.views_by_zone["a"][:1]
    fleet.views_by_zone["a"][:], others = known, fleet.views_by_zone["a"][1:]
    fleet.decision.apply([*known, *others, *fleet.views_by_zone["b"]])
    assert set(fleet.run({"a": 2.0, "b": 0.5})) == {0.0}


def test_state_is_dropped_without_requests():
    """Guards against a share that was decided for another load.

    Load: a node without requests for some seconds.
    """
    fleet = _Fleet({"a": 4, "b": 6})
    assert fleet.run({"a": 1.5, "b": 0.5})[-1] > 0.3
    fleet.now += 5.0
    assert fleet.decision.share(fleet.now) == 0
    fleet.report({"a": 0.5, "b": 0.5})
    assert fleet.ask() is None


def test_price_of_bytes_raises_the_start():
    """Guards against traffic that is billed for a gain of some milliseconds.

    Load: a zone at 100 % of its slots; requests without bytes, and with 20 KB.
    """
    for size, leaves in ((0.0, True), (20_000.0, False)):
        fleet = _Fleet({"a": 4, "b": 6})
        for _ in range(10):
            fleet.now += _STEP_S
            fleet.report({"a": 1.0, "b": 0.5})
            fleet.ask(size=size)
        assert bool(fleet.decision.share_by_zone) is leaves


def test_narrow_link_bounds_the_bytes_out_of_the_zone():
    """Guards against responses from other zones that fill the link of the callers' VM.

    Load: 100 requests of 20 KB in a second at a node with a link of 5 Mbit/s, which carries 625 KB
    in that time, while its zone is overloaded by half.
    """
    fleet = _Fleet({"a": 4, "b": 6}, link_mbps=5)
    fleet.run({"a": 2.0, "b": 0.25})
    sent = 0
    for _ in range(100):
        fleet.now += 0.01
        fleet.report({"a": 2.0, "b": 0.25})
        views = fleet.ask(size=20_000)
        if views is None or any(view.zone == "b" for view in views):
            fleet.decision.observe_out_of_zone(fleet.now, 20_000)
            sent += 20_000
    assert 300_000 <= sent <= 500_000


def test_debt_of_the_link_is_bounded():
    """Guards against a link that counts as full long after a burst.

    Load: 10 MB to other zones at once, on a link of 5 Mbit/s.
    """
    budget = link_budget.LinkBudget(link_mbps=5)
    budget.take(1.0, 10_000_000)
    assert not budget.has_room(1.0, 1_000)
    assert budget.has_room(2.0, 1_000)


def test_blocked_and_failing_servers_add_no_room():
    """Guards against room that exists only on servers that cannot be used.

    Load: half of the servers of the other zone are unreachable, the others fail.
    """
    fleet = _Fleet({"b": 2})
    fleet.report({"b": 0.0})
    blocked, failing = fleet.views_by_zone["b"]
    blocked.blocked_until_s = fleet.now + 1.0
    for _ in range(20):
        failing.observe_result(now=fleet.now, failed=True)
    found = zone_load.summarize([blocked, failing], fleet.now, _SERVICE_TIME_S)
    assert found.capacity < 0.1 * _SLOTS


def test_measured_capacity_replaces_the_declared_slots():
    """Guards against a slow zone that takes as much as its slots suggest.

    Load: the other zone completes an eighth of what its slots suggest.
    """
    nominal, measured = _Fleet({"a": 4, "b": 4}), _Fleet({"a": 4, "b": 4})
    nominal.run({"a": 1.75, "b": 0.5})
    for _ in range(20):
        measured.now += _STEP_S
        measured.report({"a": 1.75}, capacity=4.0)
        measured.report({"b": 0.5}, capacity=0.5)
        measured.ask()
    share = measured.decision.share_by_zone["b"]
    assert share < nominal.decision.share_by_zone["b"] / 4


def test_rate_limit_of_cold_servers_bounds_their_room():
    """Guards against a burst at a zone that has come back cold.

    Load: the own zone is overloaded; each server of the other takes 8 requests a second, which is
    0.4 instead of 4 seconds of work a second.
    """
    fleet = _Fleet({"a": 4, "b": 4})
    for _ in range(20):
        fleet.now += _STEP_S
        fleet.report({"a": 1.75})
        fleet.report({"b": 0.0}, limit_known=True, rate_limit_per_s=8.0, tokens=4.0)
        fleet.ask()
    assert 0 < fleet.decision.share_by_zone["b"] < 0.15


def test_cold_zone_below_its_rate_limit_is_not_short():
    """Guards against traffic out of a zone whose servers are slow but take all requests.

    Load: cold servers, half as fast as usual, take 8 requests a second; one request runs at every
    second one of them, which is 5 requests a second.
    """
    fleet = _Fleet({"a": 4, "b": 6})
    for _ in range(300):
        fleet.now += _STEP_S
        cold: dict[str, typing.Any] = {"limit_known": True, "rate_limit_per_s": 8.0, "tokens": 4.0}
        fleet.report({"a": 0.25}, slowness=2.0, baseline=2.0, **cold)
        fleet.report({"b": 0.25})
        for view in fleet.views_by_zone["a"][::2]:
            view.observe_load(
                now=fleet.now,
                sequence=fleet.sequence,
                running=0,
                waiting=0,
                concurrency_limit=_SLOTS,
                slowness=2.0,
                slowness_age_s=0.0,
                slow_for_s=0.0,
                baseline=2.0,
                **cold,
            )
        fleet.ask()
        assert fleet.decision.share(fleet.now) == 0


def _placement(fleet):
    made = placement.Placement(generator=random.Random(2), overflow=fleet.decision)
    made.apply(view for views in fleet.views_by_zone.values() for view in views)
    made.observe_answer("k", _SERVICE_TIME_S, 20_000)
    return made


_OCCUPANCY = st.floats(0, 4) | st.none()


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    steps=st.lists(
        st.tuples(st.tuples(_OCCUPANCY, _OCCUPANCY, _OCCUPANCY), st.floats(0, 3), st.booleans()),
        min_size=1,
        max_size=15,
    )
)
@hypothesis.example(
    steps=[
        ((4.0, None, None), 2.0, True),
        ((0.95, 0.5, None), 0.0625, True),
        ((1.0, None, None), 0.25, True),
    ]
)
def test_shares_are_valid_and_change_slowly_under_any_load(steps):
    """Guards against shares below 0 or above 1 in total, jumps, and shares of absent zones.

    Load: any sequence of occupancies, missing reports, pauses and evacuations.
    """
    fleet = _Fleet({"a": 2, "b": 3, "c": 1})
    for occupancies, pause_s, evacuated in steps:
        before = dict(fleet.decision.share_by_zone)
        updated_s = fleet.decision._updated_s
        fleet.now += pause_s
        known = zip("abc", occupancies, strict=True)
        fleet.report({zone: each for zone, each in known if each is not None})
        fleet.apply(without="c" if evacuated else "")
        fleet.ask()
        shares = fleet.decision.share_by_zone
        assert all(0 < share <= 1 for share in shares.values())
        assert sum(shares.values()) <= 1 + 1e-9
        assert shares.keys() <= ({"b"} if evacuated else {"b", "c"})
        elapsed_s = fleet.decision._updated_s - updated_s
        if elapsed_s > 1.0:
            # The share has started again at 0.
            before, elapsed_s = {}, 0.1
        assert all(
            share - before.get(zone, 0) <= elapsed_s + 1e-9 for zone, share in shares.items()
        )


def _zone_chosen(made, now, excluded=()):
    view = made.choose(now, "k", _SERVICE_TIME_S, 0, excluded)
    assert view is not None
    return view.zone


def test_placement_sends_part_of_the_requests_out_of_a_full_zone():
    """Guards against requests that wait in a full zone until the price of bytes is exceeded.

    Load: responses of 20 KB, the own zone at one and a quarter of its slots.
    """
    fleet = _Fleet({"a": 4, "b": 6})
    share = fleet.run({"a": 1.25, "b": 0.25})[-1]
    made = _placement(fleet)
    zones = [_zone_chosen(made, fleet.now) for _ in range(200)]
    assert zones.count("b") / 200 == pytest.approx(share, abs=0.1)
    assert 0.3 < share < 0.7
    alone = placement.Placement(generator=random.Random(2))
    alone.apply(made.views_by_id.values())
    alone.observe_answer("k", _SERVICE_TIME_S, 20_000)
    assert _zone_chosen(alone, fleet.now) == "a"


def test_further_attempts_compare_all_servers():
    """Guards against a retry that is restricted to the zone that has just refused.

    Load: the own zone is overloaded and its servers have refused.
    """
    fleet = _Fleet({"a": 2, "b": 2, "c": 2})
    fleet.run({"a": 1.75, "b": 0.25, "c": 0.25})
    made = _placement(fleet)
    assert _zone_chosen(made, fleet.now) != "a"
    assert {_zone_chosen(made, fleet.now, {"a0"}) for _ in range(50)} == {"a"}
    assert _zone_chosen(made, fleet.now, {"a0", "a1", "b0", "b1"}) == "c"


def test_request_is_sent_although_all_offered_servers_are_blocked():
    """Guards against a request without a server while another zone has some.

    Load: the link is full and all servers of the own zone are blocked.
    """
    fleet = _Fleet({"a": 2, "b": 2}, link_mbps=5)
    fleet.run({"a": 1.75, "b": 0.25})
    fleet.decision.observe_out_of_zone(fleet.now, 10_000_000)
    made = _placement(fleet)
    for view in fleet.views_by_zone["a"]:
        view.blocked_until_s = fleet.now + 1.0
    assert _zone_chosen(made, fleet.now) == "b"
