"""Load pattern: a service is overloaded, and refused callers return among new ones."""

import pytest

from laburnumford_policy.placement import caller_timeouts, work_queue

AIM_S = 0.3
WORK_S = 0.1


@pytest.fixture
def timeouts():
    """Returns the timeouts of callers that state 1.2 s for a new request."""
    made = caller_timeouts.CallerTimeouts()
    made.elapsed_s(0.0, "k", 1.2)
    return made


def test_returning_caller_has_waited(timeouts):
    """Guards against a soft deadline that starts again with each attempt."""
    assert timeouts.elapsed_s(0.1, "k", 0.8) == pytest.approx(0.4)


def test_new_requests_with_slightly_different_timeouts_have_not_waited(timeouts):
    """Guards against new requests that are treated as late."""
    assert timeouts.elapsed_s(0.1, "k", 1.05) == 0.0


def test_kinds_of_request_are_kept_apart(timeouts):
    """Guards against a short kind of request that always counts as returning."""
    assert timeouts.elapsed_s(0.1, "short", 0.25) == 0.0


def test_shorter_timeouts_are_accepted_after_a_while(timeouts):
    """Guards against callers that are treated as returning for ever after a change."""
    assert timeouts.elapsed_s(15.0, "k", 0.5) > 0.0
    assert timeouts.elapsed_s(25.0, "k", 0.5) == 0.0


def test_new_request_runs_before_a_returning_one(timeouts):
    """Guards against late answers to old requests that make all later answers late, too."""
    queue = work_queue.WorkQueue(service_time_s=lambda _: WORK_S)
    for entry_id, timeout_s in ((1, 0.7), (2, 1.2)):
        soft_deadline_s = 1.0 + AIM_S - timeouts.elapsed_s(1.0, "k", timeout_s)
        queue.add(
            work_queue.WaitingRequest(
                entry_id=entry_id,
                priority=1,
                soft_deadline_s=soft_deadline_s,
                late_after_s=soft_deadline_s,
                deadline_s=1.0 + timeout_s,
                request_class="k",
            )
        )
    first = queue.pop_next(1.0)
    assert first is not None
    assert first.entry_id == 2
