"""Load pattern: servers of a zone that was evacuated come back cold and crash above a small rate."""

import pytest

from laburnumford_policy.placement import advertised_limit, cold_limit

PER_S = 8.0


@pytest.fixture
def limit():
    """Returns the limit of a server that has not answered a health check yet."""
    made = cold_limit.ColdLimit()
    made.per_s = PER_S
    made.duration_s = 3.0
    return made


def test_server_without_a_health_check_counts_as_cold(limit):
    """Guards against full load on a server that has just started."""
    assert limit.is_cold(0.0)
    assert limit.remaining_s(0.0) is None
    limit.observe_check(0.1, 0.0)
    assert not limit.is_cold(0.1)
    limit.forget()
    assert limit.is_cold(0.2)


def test_server_is_cold_for_the_stated_time(limit):
    """Guards against a limit that ends early, or stays after the server is warm."""
    limit.observe_check(0.0, 2.0)
    assert limit.is_cold(1.9)
    assert not limit.is_cold(2.0)


def test_implausible_time_is_bounded_by_the_published_one(limit):
    """Guards against a server that stays limited because it states a huge number."""
    limit.observe_check(0.0, 1e9)
    assert not limit.is_cold(3.0)


def test_service_without_a_limit_is_never_cold(limit):
    """Guards against health checks and limits where no configuration asks for them."""
    limit.per_s = None
    limit.observe_start()
    assert not limit.is_cold(0.0)
    assert not limit.must_check(9.0)
    assert not limit.should_check(9.0)
    assert limit.debt() == 0.0


def test_requests_since_the_last_warm_health_check_count(limit):
    """Guards against a burst on a server that has become cold unnoticed."""
    for now in (0.0, 0.1):
        limit.begin_check(now)
        limit.observe_start()
        limit.observe_check(now + 0.01, 0.0)
    assert limit.debt() == 1.0
    for _ in range(100):
        limit.observe_start()
    assert limit.debt() == PER_S


def test_request_does_not_start_on_an_old_health_check(limit):
    """Guards against a burst on a server that became cold while it had no requests."""
    limit.observe_check(0.0, 0.0)
    assert not limit.must_check(0.2)
    assert limit.must_check(5.0)


def test_failing_health_checks_do_not_stop_requests(limit):
    """Guards against a warm server that gets nothing because its health checks time out."""
    limit.observe_check(0.0, 0.0)
    limit.observe_failed_check()
    assert not limit.must_check(5.0)
    assert not limit.is_cold(5.0)


def test_idle_warm_server_gets_no_health_checks(limit):
    """Guards against health checks of servers that get no requests."""
    limit.begin_check(0.0)
    limit.observe_check(0.01, 0.0)
    assert not limit.should_check(60.0)
    limit.observe_start()
    assert limit.should_check(60.0)


@pytest.mark.parametrize(
    ("sustained", "factor", "slack"),
    [(8.0, 1.5, 8.0), (16.0, 1.5, 8.0), (8.0, 1.0, 0.0), (1.0, 1.0, 0.0)],
)
def test_bucket_of_the_admitted_rate_stays_within_the_bound(sustained, factor, slack):
    """Guards against a burst and a refill that together exceed the bound in one second.

    Load pattern: a cold server with more waiting requests than it may get, after a pause.
    """
    rate = cold_limit.admitted_rate(sustained_per_s=sustained, factor=factor, slack=slack)
    bucket = advertised_limit.AdvertisedLimit()
    bucket.apply(0.0, rate)
    sent = []
    for step in range(4000):
        now = 10.0 + step / 1000
        if bucket.can_admit(now):
            bucket.admit(now)
            sent.append(now)
    in_a_second = max(sum(start <= each < start + 1.0 for each in sent) for start in sent)
    assert 0 < in_a_second <= max(sustained * factor + slack, 2.0)
