"""Tests of the offline estimate of the highest value that a heavy day allows."""

import dataclasses

import pytest

from laburnumford_testkit.bench import heavy_day, limit


@pytest.fixture
def day():
    """Returns a day with one service that uses a tenth of its slots."""
    kind = heavy_day.Kind(
        name="lookup",
        service="s",
        rate_per_s=10.0,
        service_time_s=0.1,
        target_latency_s=0.4,
        deadline_s=1.0,
        value=1.0,
        late_value=0.1,
        priority=1,
    )
    return heavy_day.HeavyDay(
        kinds=(kind,),
        servers_by_service={"s": 5},
        slots=2,
        surges=(),
        outages=(),
        length_s=20.0,
        slow_share=0.25,
        slow_factor=5.0,
        speed_interval_s=0.15,
    )


def test_light_day_is_served_completely(day):
    """Guards against an estimate that omits requests which any chooser would serve."""
    assert limit.value_shares(day, limit.simulate(day, 1))["whole_day"] > 0.99


def test_served_requests_fit_into_the_slots(day):
    """Guards against an estimate above the capacity of the servers.

    Load pattern: five times as many requests as the slots can run.
    """
    kind = dataclasses.replace(day.kinds[0], rate_per_s=500.0)
    overloaded = dataclasses.replace(day, kinds=(kind,))
    served = limit.simulate(overloaded, 1)
    run_s = sum(earned > 0 for _, _, earned in served) * kind.service_time_s
    assert run_s <= 5 * 2 * (day.length_s + kind.deadline_s)
    assert limit.value_shares(overloaded, served)["whole_day"] < 0.25


def test_outages_lower_the_worst_windows(day):
    """Guards against outages of servers that have no effect on the estimate."""
    kind = dataclasses.replace(day.kinds[0], rate_per_s=60.0)
    outage = heavy_day.TimedFactor(start_s=4.0, end_s=8.0, factor=0.6)
    with_outage = dataclasses.replace(day, kinds=(kind,), outages=(outage,))
    found = limit.value_shares(with_outage, limit.simulate(with_outage, 1))
    assert found["worst_windows"] < 0.8 < found["whole_day"]
