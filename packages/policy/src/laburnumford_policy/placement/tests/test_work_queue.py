"""Tests of the order beside a server."""

import pytest

from laburnumford_policy.placement import work_queue


@pytest.fixture
def queue():
    """Returns a queue for work of 100 ms."""
    return work_queue.WorkQueue(work_s=lambda _: 0.1)


def _entry(entry_id, *, priority=1, aim_s=1.0, useful_until_s=None, deadline_s=3.0):
    return work_queue.WaitingRequest(
        entry_id=entry_id,
        priority=priority,
        aim_s=aim_s,
        useful_until_s=aim_s if useful_until_s is None else useful_until_s,
        deadline_s=deadline_s,
        work_key="k",
    )


def _order(queue, now):
    ids = []
    while (found := queue.pop_next(now)) is not None:
        ids.append(found.entry_id)
    return ids


def test_request_with_less_time_goes_first(queue):
    """Guards against a call with a short target that waits behind new work.

    A running request waits for such a call and holds a slot elsewhere.
    """
    queue.add(_entry(1, aim_s=1.0))
    queue.add(_entry(2, aim_s=0.7))
    assert _order(queue, 0.5) == [2, 1]


def test_higher_rank_goes_first(queue):
    """Guards against a less urgent kind that is served better than an urgent one."""
    queue.add(_entry(1, priority=2))
    queue.add(_entry(2, priority=1))
    assert _order(queue, 0.5) == [2, 1]


def test_burst_keeps_part_of_its_requests_in_time(queue):
    """Guards against a burst in which every request becomes late.

    Load pattern: more requests than slots for longer than the target latency.
    """
    for entry_id in range(20):
        queue.add(_entry(entry_id, aim_s=0.5 + entry_id * 0.001))
    now = 0.0
    in_time = 0
    while (found := queue.pop_next(now)) is not None:
        now += 0.1
        in_time += now <= found.aim_s
    assert in_time >= 4


def test_late_request_gives_way_to_those_in_time(queue):
    """Guards against spending a slot on work that has lost its worth already.

    Load pattern: more requests than slots for seconds; without this every second answer of
    the saturated service is late.
    """
    queue.add(_entry(1, aim_s=0.2))
    queue.add(_entry(2, aim_s=0.9))
    assert [found.entry_id for found in queue.pop_hopeless(0.5)] == [1]
    assert _order(queue, 0.5) == [2]


def test_late_request_is_served_when_nothing_else_waits(queue):
    """Guards against refusing an answer that is late but still wanted."""
    queue.add(_entry(1, aim_s=0.2))
    assert queue.pop_hopeless(0.5) == []
    assert _order(queue, 0.5) == [1]


def test_short_call_is_not_given_up_for_being_late(queue):
    """Guards against a run elsewhere that fails because a short call of it was turned away.

    Load pattern: saturation of a service that others call while they hold a slot. On
    csl-dispatch-grown one answer in six of the calling service was such a failure.
    """
    queue.add(_entry(1, aim_s=0.2, useful_until_s=2.9))
    queue.add(_entry(2, aim_s=0.9))
    assert queue.pop_hopeless(0.5) == []
    assert queue.has_room_for(_entry(3, aim_s=0.6, useful_until_s=2.9), 0.5, 0.6)
    assert _order(queue, 0.5) == [1, 2]


def test_queue_is_kept_short_enough_to_be_in_time(queue):
    """Guards against a queue in which each request ends just after its target.

    Load pattern: saturation, with waits that slow spells stretch.
    """
    assert queue.has_room_for(_entry(1, aim_s=1.0), 0.0, 0.4)
    assert queue.has_room_for(_entry(1, aim_s=1.0), 0.0, 0.6)
    queue.add(_entry(2))
    assert not queue.has_room_for(_entry(1, aim_s=1.0), 0.0, 0.6)


def test_hopeless_request_is_given_up_at_once(queue):
    """Guards against requests that wait until their deadline for a certain refusal."""
    queue.add(_entry(1, deadline_s=0.55))
    queue.add(_entry(2, deadline_s=0.65))
    assert [found.entry_id for found in queue.pop_hopeless(0.5)] == [1]
    assert len(queue) == 1


def test_ahead_counts_what_goes_first(queue):
    """Guards against estimates of the wait that ignore the order."""
    queue.add(_entry(1, priority=2))
    assert queue.ahead_of(_entry(2, priority=1), 0.5) == 0
    assert queue.ahead_of(_entry(3, priority=3), 0.5) == 1


def test_new_request_does_not_wait_for_late_ones(queue):
    """Guards against refusing a request that can be in time because late ones wait.

    Load pattern: a surge leaves each server a queue of late requests. On
    csl-dispatch-grown they kept new ones away for seconds after the surge.
    """
    for entry_id in range(6):
        queue.add(_entry(entry_id, aim_s=0.2))
    fresh = _entry(10, aim_s=1.3)
    assert queue.ahead_of(fresh, 0.5) == 0
    queue.add(fresh)
    assert queue.pop_next(0.5).entry_id == 10
