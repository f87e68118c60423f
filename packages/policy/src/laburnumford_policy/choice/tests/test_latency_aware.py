"""Tests of the default chooser."""

import collections
import random
import time

import pytest

from laburnumford_policy import choice

ANSWERED = choice.Result.ANSWERED
REFUSED = choice.Result.REFUSED
CANCELLED = choice.Result.CANCELLED


def report(running=1, queued=0, limit=4, service_ms=5.0):
    """Returns a load report."""
    return choice.LoadReport(
        running=running, queued=queued, limit=limit, service_time_us=int(service_ms * 1000)
    )


def candidates(names="abcd", local=""):
    """Returns candidates with the same network delay."""
    return [choice.Candidate(name=each, slots=4, local=each in local) for each in names]


def call(chooser, name, now, latency=0.005, load=None, result=ANSWERED):
    """Reports a call to the chooser that was sent `latency` seconds before `now`."""
    chooser.observe_sent(name, now - latency)
    chooser.observe_answer(name, now, latency, load or report(), result)


def warm_up(chooser, names="abcd", start=0.0, calls=8, load=None):
    """Reports the same answers from each server and returns the time of the last one."""
    for step in range(calls):
        for name in names:
            call(chooser, name, start + 0.01 * (step + 1), load=load)
    return start + 0.01 * calls


def count(chooser, now, calls=100):
    """Returns how often each server is chosen, without sending the calls."""
    return collections.Counter(chooser.choose(now) for _ in range(calls))


def state(chooser, name, now):
    """Returns the `Explanation` of one server."""
    return next(row for row in chooser.explain(now) if row.name == name)


@pytest.fixture
def chooser():
    """Returns a chooser with four candidates."""
    chooser = choice.LatencyAwareChooser(generator=random.Random(1))
    chooser.apply(candidates(), now=0.0)
    return chooser


def test_parameter_error_names_the_parameter_and_its_range():
    """Guards against an error message without the allowed range."""
    with pytest.raises(choice.ChoiceParameterError, match="sample_size is 1; allowed: int from 2"):
        choice.choosers.create("latency_aware", generator=random.Random(1), sample_size=1)


def test_overdue_server_is_avoided(chooser):
    """Guards against calls to a server that has stopped answering."""
    now = warm_up(chooser)
    chooser.observe_sent("a", now)
    assert "a" not in count(chooser, now + 0.04)
    assert state(chooser, "a", now + 0.04).state == "overdue"


def test_call_overtaken_by_a_later_one_does_not_make_a_server_overdue(chooser):
    """Guards against a server that is avoided because it runs one long call."""
    now = warm_up(chooser)
    chooser.observe_sent("a", now)
    call(chooser, "a", now + 0.5)
    assert state(chooser, "a", now + 0.5).outstanding == 1
    assert state(chooser, "a", now + 0.6).state != "overdue"


def test_cancelled_call_does_not_make_a_server_overdue(chooser):
    """Guards against a server that is overdue or failing because a hedge was cancelled."""
    now = warm_up(chooser)
    chooser.observe_sent("a", now)
    chooser.observe_answer("a", now + 0.01, 0.01, None, CANCELLED)
    assert state(chooser, "a", now + 1.0).state == "ok"
    assert state(chooser, "a", now + 1.0).failure_score == 0.0


def test_latencies_override_too_short_a_reported_service_time(chooser):
    """Guards against a load report that hides a slow server."""
    now = warm_up(chooser)
    for step in range(8):
        call(chooser, "a", now + 0.06 + 0.01 * step, latency=0.05, load=report(service_ms=0.1))
    assert "a" not in count(chooser, now + 0.14)


def test_latencies_override_too_long_a_reported_service_time(chooser):
    """Guards against a recovered server that is avoided because its load report lags."""
    now = warm_up(chooser)
    for step in range(8):
        call(chooser, "a", now + 0.01 * step, load=report(service_ms=500.0))
    assert state(chooser, "a", now + 0.1).service_time_s <= 0.01


def test_server_that_refuses_with_an_empty_queue_is_avoided(chooser):
    """Guards against a server that refuses every call and is preferred for its low load."""
    now = warm_up(chooser)
    for _ in range(3):
        call(chooser, "a", now, latency=0.0002, load=report(running=0), result=REFUSED)
    assert count(chooser, now)["a"] == 0
    assert state(chooser, "a", now).state == "failing"


def test_failing_server_gets_trial_call_and_slow_start(chooser):
    """Guards against a server that is never used again or gets a burst when it is."""
    now = warm_up(chooser)
    for _ in range(3):
        call(chooser, "a", now, latency=0.0002, result=REFUSED)
    later = now + 1.0
    for name in "bcd":
        chooser.observe_sent(name, later)
    assert count(chooser, later, calls=400)["a"] in (1, 2)
    call(chooser, "a", later)
    assert state(chooser, "a", later).state == "ramping"
    # The full share would be 100, a quarter of the calls.
    assert count(chooser, later + 0.01, calls=400)["a"] <= 30


def test_server_that_joins_gets_a_slow_start(chooser):
    """Guards against a cold server that gets its full share of calls at once."""
    now = warm_up(chooser)
    chooser.apply(candidates("abcde"), now)
    assert count(chooser, now, calls=200)["e"] <= 10
    assert state(chooser, "e", now + 1.0).state == "ramping"
    assert state(chooser, "e", now + 3.0).state == "ok"


def test_no_slow_start_if_its_length_is_zero():
    """Guards against a division by zero when `now` is before the end of the slow start."""
    chooser = choice.LatencyAwareChooser(generator=random.Random(1), ramp_s=0.0)
    chooser.apply(candidates("a"), now=5.0)
    chooser.apply(candidates("ab"), now=5.0)
    assert set(count(chooser, 4.0)) == {"a", "b"}
    assert state(chooser, "b", 4.0).state == "ok"


def test_old_report_of_an_idle_server_attracts_no_load(chooser):
    """Guards against a burst of calls to a server whose old report shows the least load."""
    now = warm_up(chooser, load=report(running=2))
    call(chooser, "a", now, load=report(running=0))
    for name in "bcd":
        call(chooser, name, now + 1.0, load=report(running=2))
    # Less than twice its share of 100, a quarter of the calls.
    assert count(chooser, now + 1.0, calls=400)["a"] < 200


def test_own_calls_count_as_load_until_the_next_report(chooser):
    """Guards against a node that sends all calls to one server between two reports."""
    now = warm_up(chooser)
    chosen: collections.Counter[str] = collections.Counter()
    for _ in range(16):
        name = chooser.choose(now)
        chooser.observe_sent(name, now)
        chosen[name] += 1
    assert max(chosen.values()) <= 5


def test_adjacent_server_is_not_preferred_when_full_or_slow():
    """Guards against queueing at the adjacent server while others have free slots."""
    chooser = choice.LatencyAwareChooser(generator=random.Random(1))
    chooser.apply(candidates(local="a"), now=0.0)
    now = warm_up(chooser)
    assert count(chooser, now)["a"] == 100
    for _ in range(4):
        chooser.observe_sent("a", now)
    assert count(chooser, now)["a"] < 50
    for step in range(8):
        call(chooser, "a", now + 0.06 + 0.01 * step, latency=0.05, load=report(service_ms=50.0))
    assert count(chooser, now + 0.14)["a"] < 50


def test_load_is_spread_over_failing_and_overdue_servers(chooser):
    """Guards against sending all calls to the one paused server when the others refuse."""
    now = warm_up(chooser)
    for name in "bcd":
        for _ in range(4):
            call(chooser, name, now, latency=0.0002, result=REFUSED)
    chooser.observe_sent("a", now)
    chosen: collections.Counter[str] = collections.Counter()
    for step in range(100):
        name = chooser.choose(now + 0.1 + step / 1000)
        chooser.observe_sent(name, now + 0.1 + step / 1000)
        chosen[name] += 1
    assert max(chosen.values()) <= 50


@pytest.mark.parametrize(("failing", "overdue"), [(0, 0), (15, 0), (29, 0), (30, 0), (0, 30)])
def test_choice_of_30_costs_less_than_15_us(failing, overdue):
    """Guards against a cost that grows with the number of servers or of unhealthy ones."""
    chooser = choice.LatencyAwareChooser(generator=random.Random(1))
    names = [f"s{index}" for index in range(30)]
    chooser.apply([choice.Candidate(name=name, slots=12) for name in names], 0.0)
    now = warm_up(chooser, names)
    for name in names[:failing]:
        for _ in range(4):
            call(chooser, name, now, result=REFUSED)
    for name in names[:overdue]:
        chooser.observe_sent(name, now)
    now += 0.1
    costs = []
    # The minimum of several batches excludes batches that other processes disturbed.
    for _ in range(10):
        began = time.process_time()
        for _ in range(500):
            chooser.choose(now)
        costs.append((time.process_time() - began) / 500)
    assert min(costs) < 15e-6
