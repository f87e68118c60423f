"""Tests of the limit on reads of the platform."""

import random

import pytest

from laburnumford_fleet import read_limit


def _reads(limit: read_limit.ReadLimit, start: float, duration: float) -> list[float]:
    """Returns the times of the reads of a node that reads as fast as the limit admits."""
    now, times = start, []
    while now < start + duration:
        wait_s = limit.reserve(now=now, max_wait_s=100.0)
        assert wait_s is not None
        now += wait_s
        times.append(now)
    return times


@pytest.mark.parametrize("nodes", [10, 1000, 10_000])
def test_reads_of_all_nodes_stay_within_platform_limit(nodes):
    """Guards against more than 2,000 reads/s when all nodes read after an idle time."""
    times = []
    for node in range(nodes):
        limit = read_limit.ReadLimit(generator=random.Random(node), now=0.0)
        limit.set_fleet_size(nodes=nodes, readers=1, is_reader=False, now=0.0)
        times += _reads(limit, 1000.0, 30.0)
    per_second = [sum(second <= at < second + 1 for at in times) for second in range(1000, 1030)]
    assert max(per_second) <= 2000
    assert sum(per_second) / 30 <= 1100


def test_readers_share_is_bounded():
    """Guards against two overlapping sets of readers that exceed the readers' share."""
    limit = read_limit.ReadLimit(generator=random.Random(1), now=0.0)
    limit.set_fleet_size(nodes=10_000, readers=100, is_reader=True, now=0.0)
    assert limit.rate_per_s == pytest.approx(5.1)
    assert len(_reads(limit, 100.0, 10.0)) <= 5.1 * 11 + 1


def test_starting_node_may_read_four_times_at_once():
    """Guards against a start that waits because the limit assumes the largest fleet."""
    limit = read_limit.ReadLimit(generator=random.Random(1), now=0.0)
    waits = [limit.reserve(now=0.0, max_wait_s=1.0) for _ in range(5)]
    assert waits == [0.0, 0.0, 0.0, 0.0, None]
