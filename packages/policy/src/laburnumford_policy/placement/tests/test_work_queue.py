"""Tests of the queue of requests that wait for a server."""

import pytest

from laburnumford_policy.placement import work_queue


@pytest.fixture
def queue():
    """Returns a queue of requests whose service time is 100 ms."""
    return work_queue.WorkQueue(service_time_s=lambda _: 0.1)


def _entry(entry_id, *, priority=1, soft_deadline_s=1.0, late_after_s=None, deadline_s=3.0):
    return work_queue.WaitingRequest(
        entry_id=entry_id,
        priority=priority,
        soft_deadline_s=soft_deadline_s,
        late_after_s=soft_deadline_s if late_after_s is None else late_after_s,
        deadline_s=deadline_s,
        request_class="k",
    )


def _order(queue, now):
    ids = []
    while (found := queue.pop_next(now)) is not None:
        ids.append(found.entry_id)
    return ids


def test_earlier_soft_deadline_goes_first(queue):
    """Guards against a call with a short target latency that waits behind new requests.

    A running request waits for such a call and occupies a slot of another server.
    """
    queue.add(_entry(1, soft_deadline_s=1.0))
    queue.add(_entry(2, soft_deadline_s=0.7))
    assert _order(queue, 0.5) == [2, 1]


def test_higher_priority_goes_first(queue):
    """Guards against serving a request of a lower priority first."""
    queue.add(_entry(1, priority=2))
    queue.add(_entry(2, priority=1))
    assert _order(queue, 0.5) == [2, 1]


def test_burst_keeps_part_of_its_requests_in_time(queue):
    """Guards against a burst in which every request becomes late.

    Load pattern: more requests than slots for longer than the target latency.
    """
    for entry_id in range(20):
        queue.add(_entry(entry_id, soft_deadline_s=0.5 + entry_id * 0.001))
    now = 0.0
    in_time = 0
    while (found := queue.pop_next(now)) is not None:
        now += 0.1
        in_time += now <= found.soft_deadline_s
    assert in_time >= 4


def test_late_request_is_shed_if_others_are_in_time(queue):
    """Guards against using a slot for a request whose answer is already late.

    Load pattern: more requests than slots for seconds. Without shedding, every second answer of
    the saturated service is late.
    """
    queue.add(_entry(1, soft_deadline_s=0.2))
    queue.add(_entry(2, soft_deadline_s=0.9))
    assert [found.entry_id for found in queue.shed(0.5)] == [1]
    assert _order(queue, 0.5) == [2]


def test_late_request_is_served_if_no_other_waits(queue):
    """Guards against refusing a request whose answer is late but before its deadline."""
    queue.add(_entry(1, soft_deadline_s=0.2))
    assert queue.shed(0.5) == []
    assert _order(queue, 0.5) == [1]


def test_short_call_is_not_shed_for_being_late(queue):
    """Guards against a run on another server that fails because its short call was refused.

    Load pattern: saturation of a service that others call while they occupy a slot. In the
    benchmark csl-dispatch-grown one answer in six of the calling service was such a failure.
    """
    queue.add(_entry(1, soft_deadline_s=0.2, late_after_s=2.9))
    queue.add(_entry(2, soft_deadline_s=0.9))
    assert queue.shed(0.5) == []
    assert queue.should_enqueue(_entry(3, soft_deadline_s=0.6, late_after_s=2.9), 0.5, 0.6)
    assert _order(queue, 0.5) == [1, 2]


def test_queue_is_short_enough_for_answers_in_time(queue):
    """Guards against a queue in which each request ends just after its soft deadline.

    Load pattern: saturation, with waits that slowdowns prolong.
    """
    assert queue.should_enqueue(_entry(1, soft_deadline_s=1.0), 0.0, 0.4)
    assert queue.should_enqueue(_entry(1, soft_deadline_s=1.0), 0.0, 0.6)
    queue.add(_entry(2))
    assert not queue.should_enqueue(_entry(1, soft_deadline_s=1.0), 0.0, 0.6)


def test_request_that_cannot_meet_its_deadline_is_shed_at_once(queue):
    """Guards against requests that wait until their deadline although they will be refused."""
    queue.add(_entry(1, deadline_s=0.55))
    queue.add(_entry(2, deadline_s=0.65))
    assert [found.entry_id for found in queue.shed(0.5)] == [1]
    assert len(queue) == 1


def test_count_ahead_follows_the_queue_order(queue):
    """Guards against estimates of the wait that ignore the queue order."""
    queue.add(_entry(1, priority=2))
    assert queue.count_ahead_of(_entry(2, priority=1), 0.5) == 0
    assert queue.count_ahead_of(_entry(3, priority=3), 0.5) == 1


def test_new_request_does_not_wait_for_late_ones(queue):
    """Guards against refusing a request that can be in time because late ones wait.

    Load pattern: a surge leaves a queue of late requests on each server. In the
    benchmark csl-dispatch-grown they caused refusals of new ones for seconds after the surge.
    """
    for entry_id in range(6):
        queue.add(_entry(entry_id, soft_deadline_s=0.2))
    fresh = _entry(10, soft_deadline_s=1.3)
    assert queue.count_ahead_of(fresh, 0.5) == 0
    queue.add(fresh)
    assert queue.pop_next(0.5).entry_id == 10


def test_late_request_gets_no_slot_that_new_ones_need(queue):
    """Guards against slots that are used for late answers while new requests are refused.

    Load pattern: three times as many requests as slots, among them callers that return after a
    refusal. Half of the answers of a cold fleet were late, while requests were refused that could
    have been in time.
    """
    returning = _entry(1, soft_deadline_s=0.4)
    assert queue.should_enqueue(returning, 0.5, 0.0)
    queue.add(_entry(2))
    assert not queue.should_enqueue(_entry(3, soft_deadline_s=0.7), 0.5, 0.6)
    queue.remove(2)
    assert not queue.should_enqueue(returning, 0.55, 0.0)
    assert queue.should_enqueue(_entry(4, soft_deadline_s=1.0), 0.55, 0.0)
    assert queue.should_enqueue(returning, 0.7, 0.0)
