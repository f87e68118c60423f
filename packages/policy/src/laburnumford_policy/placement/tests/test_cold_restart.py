"""Load pattern: a fleet restarts cold under full load, and other VMs slow its servers down."""

import heapq
import itertools
import random

import pytest

from laburnumford_policy.placement import baseline_slowness, start_policy, work_queue

SLOTS = 7
WORK_S = 0.09
AIM_S = 0.3
DEADLINE_S = 1.2
COLD_S = 3.0
ARRIVALS_PER_S = 120.0
REPORT_INTERVAL_S = 0.025
SLOWDOWN_S = 0.15
SLOWDOWN_SHARE = 0.25
SLOWDOWN_FACTOR = 5.0


@pytest.fixture
def baseline():
    """Returns the baseline of a server that has just started."""
    made = baseline_slowness.BaselineSlowness()
    made.expect_cold()
    return made


def _report(target, from_s, until_s, slowness):
    now = from_s
    while now < until_s:
        target.observe(now, slowness)
        now += REPORT_INTERVAL_S


def test_cold_server_is_not_in_a_slowdown(baseline):
    """Guards against long requests that wait for the end of the cold phase."""
    _report(baseline, 0.0, 0.1, 2.0)
    speed = start_policy.Speed(slowness=2.0, slow_for_s=0.0, baseline=baseline.value())
    assert not speed.slow
    assert start_policy.should_start_now(speed=speed, service_time_s=1.1, remaining_s=6.0)


def test_slowdown_of_a_cold_server_is_waited_out(baseline):
    """Guards against starts in the worst moments of a cold server, which looks slow for long."""
    _report(baseline, 0.0, 1.0, 2.0)
    _report(baseline, 1.0, 1.1, 10.0)
    speed = start_policy.Speed(slowness=10.0, slow_for_s=0.1, baseline=baseline.value())
    assert speed.slow
    assert not start_policy.should_start_now(speed=speed, service_time_s=WORK_S, remaining_s=1.2)


def test_first_report_during_a_slowdown_is_no_baseline(baseline):
    """Guards against a node that takes the slowdown at its own start for the normal speed."""
    _report(baseline, 0.0, 0.1, 10.0)
    assert baseline.value() == baseline_slowness.COLD_SLOWNESS


def test_warm_server_has_its_normal_speed_at_once(baseline):
    """Guards against a server that counts as cold after it has become warm."""
    _report(baseline, 0.0, 1.0, 2.0)
    baseline.observe(1.0, 1.0)
    assert baseline.value() == 1.0


def test_long_slowness_becomes_the_baseline():
    """Guards against requests that wait for seconds on a server that stays slow."""
    observed = baseline_slowness.BaselineSlowness()
    _report(observed, 0.0, 1.0, 1.0)
    _report(observed, 1.0, 2.0, 5.0)
    assert observed.value() == 1.0
    _report(observed, 2.0, 4.0, 5.0)
    assert observed.value() == 5.0


def _play(seed, *, use_baseline):
    """Plays the cold phase of one server and returns counts of answers in time and late."""
    generator = random.Random(seed)
    slow_intervals = [
        generator.random() < SLOWDOWN_SHARE for _ in range(int(COLD_S / SLOWDOWN_S) + 20)
    ]
    server_baseline = baseline_slowness.BaselineSlowness()
    server_baseline.expect_cold()
    queue = work_queue.WorkQueue(service_time_s=lambda _: WORK_S * known_baseline())
    entry_ids = itertools.count()
    ends: list[float] = []
    last_normal_s = 0.0
    in_time = late = 0

    def known_baseline():
        return server_baseline.value() if use_baseline else 1.0

    def slowness_at(now):
        return 2.0 * (SLOWDOWN_FACTOR if slow_intervals[int(now / SLOWDOWN_S)] else 1.0)

    now = next_arrival_s = next_report_s = 0.0
    while now < COLD_S:
        now = min(next_arrival_s, next_report_s, ends[0] if ends else COLD_S)
        while ends and ends[0] <= now:
            heapq.heappop(ends)
        if now == next_report_s:
            server_baseline.observe(now, slowness_at(now))
            next_report_s += REPORT_INTERVAL_S
        if now == next_arrival_s:
            next_arrival_s += generator.expovariate(ARRIVALS_PER_S)
            entry = work_queue.WaitingRequest(
                entry_id=next(entry_ids),
                priority=1,
                soft_deadline_s=now + AIM_S,
                late_after_s=now + AIM_S,
                deadline_s=now + DEADLINE_S,
                request_class="k",
            )
            ahead = max(len(ends) + queue.count_ahead_of(entry, now) + 1 - SLOTS, 0)
            if queue.should_enqueue(entry, now, ahead * WORK_S * known_baseline() / SLOTS):
                queue.add(entry)
        queue.shed(now)
        slowness = slowness_at(now)
        if slowness <= start_policy.SLOWNESS_THRESHOLD * known_baseline():
            last_normal_s = now
        speed = start_policy.Speed(
            slowness=slowness, slow_for_s=now - last_normal_s, baseline=known_baseline()
        )
        while len(ends) < SLOTS and (next_entry := queue.pop_next(now)) is not None:
            remaining_s = next_entry.deadline_s - now
            if not start_policy.should_start_now(
                speed=speed, service_time_s=WORK_S, remaining_s=remaining_s
            ):
                queue.add(next_entry)
                break
            end_s = now + WORK_S * slowness
            heapq.heappush(ends, end_s)
            in_time += end_s <= next_entry.soft_deadline_s
            late += end_s > next_entry.soft_deadline_s
    return in_time, late


@pytest.mark.parametrize("seed", range(5))
def test_most_answers_of_a_cold_server_are_in_time(seed):
    """Guards against a cold server that is filled with work that it finishes too late."""
    in_time, late = _play(seed, use_baseline=True)
    assert in_time >= 0.9 * (in_time + late)


@pytest.mark.parametrize("seed", range(5))
def test_cold_server_answers_more_in_time_than_without_a_baseline(seed):
    """Guards against a baseline that serves fewer requests than normal speed would."""
    assert _play(seed, use_baseline=True)[0] > _play(seed, use_baseline=False)[0]
