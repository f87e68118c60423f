"""Tests of `Admission` and the limiters."""

import pytest

from laburnumford_objects import errors
from laburnumford_policy.admission import admission, entry, limiter, outcome
from laburnumford_policy.choice import result

RUN, QUEUED, REFUSED = outcome.Outcome.RUN, outcome.Outcome.QUEUED, outcome.Outcome.REFUSED
ANSWERED = result.Result.ANSWERED


@pytest.fixture
def two_slots():
    """Returns an admission with 2 slots and a queue limit of 3."""
    return admission.Admission(
        slots=2, limiter_name="fixed", queue_limit=3, ageing_s=0.5, service_time_s=0.1
    )


def admit(subject, entry_id, now=0.0, priority="lookup", deadline=10.0):
    """Admits one entry and returns the decision."""
    return subject.admit(entry.Entry(entry_id=entry_id, priority=priority, deadline=deadline), now)


def test_never_runs_more_than_the_slots(two_slots):
    """Fails if a server gets more work at once than it has slots."""
    outcomes = [admit(two_slots, number).outcome for number in range(6)]
    assert outcomes == [RUN, RUN, QUEUED, QUEUED, QUEUED, REFUSED]
    assert two_slots.report().running == 2
    assert two_slots.release(0.1, 0.1, ANSWERED).started == (2,)


def test_refuses_at_once_if_the_queue_makes_the_deadline_unreachable(two_slots):
    """Fails if a request is queued although its answer cannot be in time."""
    for number in range(4):
        admit(two_slots, number)
    # Third in the queue: 3 * 0.1 / 2 s of waiting plus 1.5 * 0.1 s of service time.
    assert admit(two_slots, 4, deadline=0.29).reason == "deadline"
    assert admit(two_slots, 5, deadline=0.31).outcome is QUEUED


def test_serves_and_sheds_by_priority(two_slots):
    """Fails if a full queue refuses a lookup while a statement waits, or serves it later."""
    for number, priority in enumerate(("upload", "upload", "statement", "upload", "booking")):
        admit(two_slots, number, priority=priority)
    decision = admit(two_slots, 5, priority="lookup")
    assert (decision.outcome, decision.shed) == (QUEUED, (2,))
    assert admit(two_slots, 6, priority="statement").reason == "overloaded"
    started = [two_slots.release(0.1, 0.1, ANSWERED).started for _ in range(3)]
    assert started == [(5,), (4,), (3,)]


def test_ageing_serves_a_statement_before_later_lookups(two_slots):
    """Fails if a steady stream of lookups starves a statement."""
    admit(two_slots, 0)
    admit(two_slots, 1)
    admit(two_slots, 2, priority="statement")
    admit(two_slots, 3, now=1.4)
    admit(two_slots, 4, now=1.6)
    assert [two_slots.release(1.7, 0.1, ANSWERED).started for _ in range(3)] == [(3,), (2,), (4,)]


def test_starts_nothing_expired_after_a_pause(two_slots):
    """Fails if a node that was paused runs requests whose deadline passed meanwhile."""
    for number, deadline in enumerate((100.0, 100.0, 1.0, 100.0, 2.0)):
        admit(two_slots, number, deadline=deadline)
    changes = two_slots.release(50.0, 50.0, ANSWERED)
    assert changes.started == (3,)
    assert changes.dropped == (2,)
    assert two_slots.expire(50.0).dropped == (4,)


def test_hung_server_raises_the_expected_wait_of_new_requests(two_slots):
    """Fails if the expected wait ignores that no request of the server has ended."""
    admit(two_slots, 0)
    admit(two_slots, 1)
    # Both requests have been running for 3 s, so the service time is at least 3 s.
    assert admit(two_slots, 2, now=3.0, deadline=6.0).reason == "deadline"


def test_idle_server_runs_a_request_even_if_its_last_answers_were_slow(two_slots):
    """Fails if every request is refused after a slow period although the server recovered."""
    admit(two_slots, 0)
    for _ in range(20):
        two_slots.release(5.0, 5.0, ANSWERED)
    # A refusal here would leave the estimate at 5 s forever.
    assert admit(two_slots, 1, now=6.0, deadline=7.0).outcome is RUN


def test_fast_failures_do_not_lower_the_service_time(two_slots):
    """Fails if fast errors lower the reported service time, which attracts more load."""
    for number in range(50):
        admit(two_slots, number)
        two_slots.release(0.0, 0.0001, result.Result.FAILED)
    assert two_slots.report().service_time_us == 100_000


def test_drain_refuses_new_requests_and_completes_the_others(two_slots):
    """Fails if a draining node accepts new requests or drops accepted ones."""
    for number in range(3):
        admit(two_slots, number)
    two_slots.drain()
    assert admit(two_slots, 3).reason == "draining"
    assert two_slots.release(0.1, 0.1, ANSWERED).started == (2,)
    two_slots.release(0.2, 0.1, ANSWERED)
    two_slots.release(0.2, 0.1, ANSWERED)
    assert two_slots.idle


def test_cancel_removes_only_waiting_entries(two_slots):
    """Fails if a cancelled call stays in the queue or frees a slot that is in use."""
    for number in range(3):
        admit(two_slots, number)
    assert [two_slots.cancel(number, 0.0) for number in (0, 2, 2)] == [False, True, False]
    assert two_slots.report().queued == 0


@pytest.mark.parametrize("wrong", [{"slots": 0}, {"slots": 1.5}, {"slots": 1, "queue_limit": -1}])
def test_parameters_are_checked(wrong):
    """Fails if an invalid parameter is accepted without an error."""
    with pytest.raises(errors.ParameterError, match="allowed"):
        admission.Admission(**wrong)


@pytest.mark.parametrize("name", ["aimd", "gradient"])
def test_limit_stays_between_one_and_the_slots(name):
    """Fails if a limit drops to 0, exceeds the slots or does not recover."""
    subject = limiter.limiters.create(name, slots=6)
    for step in range(200):
        subject.observe(step * 0.01, 0.01, False)
    assert subject.limit == 6
    for step in range(200):
        subject.observe(2.0 + step * 0.1, 0.1, step % 2 == 0)
        assert 1 <= subject.limit <= 6
    assert subject.limit <= 2
    for step in range(400):
        subject.observe(22.0 + step * 0.01, 0.01, False)
    assert subject.limit == 6


def test_priority_refused_while_slow_is_served_again_after_recovery():
    """Fails if a priority stays refused because only its own requests lower its estimate."""
    subject = admission.Admission(slots=2, limiter_name="fixed")

    def answer(priority, service_time_s, times):
        for _ in range(times):
            subject.admit(entry.Entry(entry_id=0, priority=priority, deadline=1e9), 0.0)
            subject.release(0.0, service_time_s, ANSWERED, priority=priority)

    answer("lookup", 0.02, 50)
    answer("upload", 0.2, 50)
    answer("lookup", 0.2, 10)
    answer("upload", 2.0, 10)
    admit(subject, 1, priority="upload", deadline=100.0)
    assert admit(subject, 2, deadline=0.1).reason == "deadline"
    subject.release(0.0, 0.2, ANSWERED, priority="upload")
    answer("upload", 0.2, 20)
    admit(subject, 3, priority="upload", deadline=100.0)
    assert admit(subject, 4, deadline=0.1).outcome is RUN


def test_requests_cancelled_at_their_deadline_raise_the_service_time(two_slots):
    """Fails if a hung server, whose requests are all cancelled, keeps its old service time."""
    for number in range(20):
        admit(two_slots, number)
        two_slots.release(0.0, 2.0, result.Result.CANCELLED)
    assert two_slots.report().service_time_us > 1_900_000


@pytest.mark.parametrize("name", limiter.limiters.names())
def test_changed_slots_keep_the_count_of_running_requests(name):
    """Fails if a change of the slots lets a server run more requests than it has slots."""
    subject = admission.Admission(slots=4, limiter_name=name, queue_limit=9)
    outcomes = [admit(subject, number).outcome for number in range(6)]
    assert outcomes == [RUN] * 4 + [QUEUED] * 2
    assert subject.apply(2, 0.1).started == ()
    assert (subject.report().running, subject.report().limit) == (4, 2)
    for _ in range(2):
        assert subject.release(0.2, 0.1, ANSWERED).started == ()
    assert subject.release(0.2, 0.1, ANSWERED).started == (4,)
    assert subject.apply(6, 0.3).started == (5,)
    assert subject.report().running == 3
    assert subject.report().limit == 6


def test_changed_queue_limit_holds_for_the_next_requests():
    """Fails if a changed queue limit has no effect or drops requests that are queued."""
    subject = admission.Admission(slots=1, queue_limit=9)
    assert [admit(subject, number).outcome for number in range(3)] == [RUN, QUEUED, QUEUED]
    assert subject.apply(1, 0.1, queue_limit=1).dropped == ()
    assert admit(subject, 3).outcome is outcome.Outcome.REFUSED
    assert subject.report().queued == 2
    assert subject.apply(1, 0.1).dropped == ()
    assert admit(subject, 4).outcome is outcome.Outcome.REFUSED


def test_changed_slots_are_checked(two_slots):
    """Fails if 0 slots are accepted, so that queued requests never start."""
    with pytest.raises(errors.ParameterError):
        two_slots.apply(0, 0.0)


def test_waits_for_nested_calls_do_not_decrease_the_limit():
    """Fails if slow nested calls decrease the limit, which makes them slower still."""
    limits = []
    for share in (0.0, 1.0):
        subject = admission.Admission(slots=12, queue_limit=9)
        for number in range(400):
            admit(subject, number, now=number * 0.1, deadline=1e6)
            slow_s = 0.4 if number > 200 else 0.0
            subject.release(number * 0.1, 0.02 + slow_s, ANSWERED, nested_wait_s=share * slow_s)
        limits.append(subject.report().limit)
    limit_slow_server, limit_nested_wait = limits
    assert limit_slow_server < 4
    assert limit_nested_wait == 12
