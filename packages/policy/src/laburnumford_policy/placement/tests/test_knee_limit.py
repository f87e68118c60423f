"""Tests of the limit for servers that slow down when they are nearly full."""

import random

import pytest

from laburnumford_policy.placement import knee_limit


def _saturate(limit, *, slots, factor, seconds, start_s=0.0):
    """Runs a server at its limit; work takes `factor` times as long above the knee."""
    generator = random.Random(1)
    now = start_s
    while now < start_s + seconds:
        running = generator.randint(1, limit.limit(now))
        slow = factor if running > 0.8 * slots else 1.0
        waits_s = generator.choice([0.0, 0.03, 0.06])
        work_s = 0.1 * slow * generator.uniform(0.8, 1.2) + waits_s
        limit.observe(now=now, running=running, work_key="k", work_s=work_s)
        now += 0.01
    return limit.limit(now)


@pytest.mark.parametrize("slots", [3, 5, 6, 12])
def test_server_without_knee_is_filled(slots):
    """Guards against empty slots under load.

    Seen on servers with 3 slots of which 2 were used: a third of the capacity was lost.
    """
    limit = knee_limit.KneeLimit(slots=slots)
    assert _saturate(limit, slots=slots, factor=1.0, seconds=6.0) == slots


def test_knee_is_found():
    """Guards against saturation above the knee, where more requests mean fewer answers."""
    limit = knee_limit.KneeLimit(slots=12)
    assert _saturate(limit, slots=12, factor=1.7, seconds=6.0) == 9


def test_small_knee_is_accepted_where_slots_are_few():
    """Guards against giving up a third of the slots for a smaller loss of speed."""
    limit = knee_limit.KneeLimit(slots=3)
    assert _saturate(limit, slots=3, factor=1.3, seconds=6.0) == 3


def test_knee_is_looked_for_again():
    """Guards against a limit that stays low after the reason has gone."""
    limit = knee_limit.KneeLimit(slots=12)
    _saturate(limit, slots=12, factor=1.7, seconds=6.0)
    assert limit.limit(15.0) == 12


def test_started_server_is_not_filled_beyond_a_possible_knee():
    """Guards against meeting the backlog after a loss of power with the slowest way to run it."""
    assert knee_limit.KneeLimit(slots=12).limit(0.0) == 9
    assert knee_limit.KneeLimit(slots=3).limit(0.0) == 3
