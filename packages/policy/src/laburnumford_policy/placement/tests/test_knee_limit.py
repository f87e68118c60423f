"""Tests of the concurrency limit for servers that slow down when nearly all slots are in use."""

import random

import pytest

from laburnumford_policy.placement import knee_limit


def _saturate(limit, *, slots, slowness, seconds, start_s=0.0):
    """Runs a server up to its limit; service times rise by `slowness` above the knee."""
    generator = random.Random(1)
    now = start_s
    while now < start_s + seconds:
        running = generator.randint(1, limit.limit(now))
        factor = slowness if running > 0.8 * slots else 1.0
        nested_calls_s = generator.choice([0.0, 0.03, 0.06])
        service_time_s = 0.1 * factor * generator.uniform(0.8, 1.2) + nested_calls_s
        limit.observe(now=now, running=running, request_class="k", service_time_s=service_time_s)
        now += 0.01
    return limit.limit(now)


@pytest.mark.parametrize("slots", [3, 5, 6, 12])
def test_server_without_knee_is_filled(slots):
    """Guards against unused slots under load.

    Servers with 3 slots used only 2 of them, so a third of the capacity was lost.
    """
    limit = knee_limit.KneeLimit(slots=slots)
    assert _saturate(limit, slots=slots, slowness=1.0, seconds=6.0) == slots


def test_knee_lowers_the_limit():
    """Guards against saturation above the knee, where more running requests mean fewer answers."""
    limit = knee_limit.KneeLimit(slots=12)
    assert _saturate(limit, slots=12, slowness=1.7, seconds=6.0) == 9


def test_small_slowdown_is_accepted_if_slots_are_few():
    """Guards against giving up a third of the slots for a smaller loss of speed."""
    limit = knee_limit.KneeLimit(slots=3)
    assert _saturate(limit, slots=3, slowness=1.3, seconds=6.0) == 3


def test_knee_evidence_expires():
    """Guards against a limit that stays low after service times above the knee are normal again."""
    limit = knee_limit.KneeLimit(slots=12)
    _saturate(limit, slots=12, slowness=1.7, seconds=6.0)
    assert limit.limit(15.0) == 12


def test_starting_server_stays_below_a_possible_knee():
    """Guards against using slots above the knee while a cold server serves a backlog.

    After a power loss that is the slowest way to serve it.
    """
    assert knee_limit.KneeLimit(slots=12).limit(0.0) == 9
    assert knee_limit.KneeLimit(slots=3).limit(0.0) == 3
