"""Load pattern: a server in trouble advertises how many requests a second it takes."""

import hypothesis
import pytest
from hypothesis import strategies

from laburnumford_policy.placement import advertised_limit, server_view, work_queue

WINDOW_S = 4.0


@pytest.fixture
def limit():
    """Returns a limit of two requests a second that has just been advertised."""
    made = advertised_limit.AdvertisedLimit()
    made.apply(0.0, 2.0)
    return made


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    rate_per_s=strategies.floats(0.05, 300.0),
    steps_s=strategies.lists(strategies.floats(0.0, 2.0), min_size=1, max_size=40),
)
def test_any_window_gets_no_more_than_the_published_bound(rate_per_s, steps_s):
    """Guards against bursts above the rate after a pause, at fractions of one a second too."""
    made = advertised_limit.AdvertisedLimit()
    made.apply(0.0, rate_per_s)
    now = 0.0
    admitted_s: list[float] = []
    for step_s in steps_s:
        now += step_s
        while made.can_admit(now):
            made.admit(now)
            admitted_s.append(now)
    for first in admitted_s:
        count = sum(first <= each < first + WINDOW_S for each in admitted_s)
        assert count <= 1.5 * rate_per_s * WINDOW_S + 5


def test_tokens_come_at_the_advertised_rate(limit):
    """Guards against requests that wait although the server takes them."""
    limit.admit(0.0)
    assert not limit.can_admit(0.4)
    assert limit.wait_s(0.4, 0) == pytest.approx(0.1)
    assert limit.wait_s(0.4, 2) == pytest.approx(1.1)
    assert limit.can_admit(0.5)


def test_end_of_the_limit_admits_everything(limit):
    """Guards against a server that stays limited after it has recovered."""
    limit.admit(0.0)
    assert limit.apply(0.1, None)
    assert limit.can_admit(0.1)
    assert limit.wait_s(0.1, 100) == 0.0


def test_change_of_the_rate_gives_no_tokens(limit):
    """Guards against a limit that is void because it changes with each answer."""
    limit.admit(0.0)
    for step in range(1, 50):
        limit.apply(step * 0.001, 2.0 + step % 2)
    assert not limit.can_admit(0.05)


def _view(server_id):
    return server_view.ServerView(server_id=server_id, round_trip_s=0.0, other_zone=False, slots=4)


def _report(view, *, known=True, rate_per_s=None, tokens=0.0, sequence=1):
    view.observe_load(
        now=0.0,
        sequence=sequence,
        running=0,
        waiting=0,
        concurrency_limit=4,
        slowness=1.0,
        slowness_age_s=0.0,
        slow_for_s=0.0,
        limit_known=known,
        rate_limit_per_s=rate_per_s,
        tokens=tokens,
    )


def test_wait_for_the_limit_counts_in_the_choice_of_a_server():
    """Guards against requests that wait at a limited server while another one has room."""
    free, limited = _view("free"), _view("limited")
    _report(free)
    _report(limited, rate_per_s=2.0, tokens=0.5)
    assert limited.expected_latency_s(0.0, 0.1) - free.expected_latency_s(0.0, 0.1) > 0.2
    assert not limited.has_free_slot(0.0)
    assert limited.has_free_slot(0.5)


def test_report_of_a_restarted_node_keeps_the_known_limit():
    """Guards against a limit that is forgotten because the node beside the server restarted."""
    view = _view("a")
    _report(view, rate_per_s=2.0)
    _report(view, known=False, sequence=2)
    assert view.rate_limit_per_s == 2.0


def _waiting(entry_id, *, deadline_s, priority=1):
    return work_queue.WaitingRequest(
        entry_id=entry_id,
        priority=priority,
        soft_deadline_s=deadline_s,
        late_after_s=deadline_s,
        deadline_s=deadline_s,
        request_class="k",
    )


def test_request_whose_turn_comes_too_late_is_shed_at_once():
    """Guards against requests that wait for their deadline behind more urgent ones."""
    queue = work_queue.WorkQueue(service_time_s=lambda _: 0.1)
    queue.add(_waiting(1, deadline_s=1.0))
    queue.add(_waiting(2, deadline_s=2.0))
    queue.add(_waiting(3, deadline_s=3.0, priority=0))
    removed = queue.shed_unreachable(0.0, lambda ahead: 0.5 * (ahead + 1))
    assert [entry.entry_id for entry in removed] == [1]
