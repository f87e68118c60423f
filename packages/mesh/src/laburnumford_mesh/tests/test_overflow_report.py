"""Tests of the log lines and metrics about the share that may leave the zone."""

import json
import random

import pytest

from laburnumford_mesh import clock, frames, overflow_report, services, settings
from laburnumford_mesh.tests import conftest


@pytest.fixture
def now(monkeypatch):
    """Returns a list with the time that the clock shows, which a test changes."""
    shown = [100.0]
    monkeypatch.setattr(clock, "now", lambda: shown[0])
    return shown


@pytest.fixture
def learned(now):
    """Returns the state of a node in zone z with servers in zones z and y."""
    del now
    made = services.Services(
        zone="z",
        server_address="127.0.0.1:1",
        retry_budget=settings.RetryBudgetSettings(ratio=0.2, slack=60, window_s=10),
        generator=random.Random(1),
    )
    made.apply(
        [
            conftest.make_entry("a", "127.0.0.2:1"),
            conftest.make_entry("b", "127.0.0.3:1", zone="y"),
        ],
        node_count=2,
    )
    return made


def _run(learned, now, report, *, running, seconds):
    """Lets the server of the own zone be occupied for some seconds, with checks five a second."""
    for step in range(round(seconds / 0.1)):
        now[0] += 0.1
        for server_id, own_running in (("a", running), ("b", 1)):
            learned.observe_load(
                frames.LoadReport(server_id, int(now[0] * 100), own_running, 0, 4, 1.0, 0.0, 0.0)
            )
        learned.state("s").placement.choose(now[0], "get", 0.05, 0)
        if step % 2:
            report.check()


def _lines(tmp_path):
    return [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]


def test_change_by_a_step_and_the_end_are_logged(learned, now, log, tmp_path):
    """Guards against an overflow that operators cannot see, or that fills the log.

    Load: a peak of 5 s, then 5 s with room.
    """
    report = overflow_report.OverflowReport(learned=learned, log=log)
    _run(learned, now, report, running=6, seconds=5.0)
    assert report.gauges()['zone_overflow_share{kind="s"}'] > 0.3
    _run(learned, now, report, running=1, seconds=5.0)
    lines = _lines(tmp_path)
    assert {line["event"] for line in lines} == {"zone_overflow"}
    assert 2 <= len(lines) <= 6
    assert lines[0]["zones"].keys() == {"y"}
    assert lines[0]["occupancy"].keys() == {"y", "z"}
    assert max(line["share"] for line in lines) > 0.3
    assert (lines[-1]["share"], lines[-1]["zones"]) == (0, {})


def test_zone_with_room_logs_nothing(learned, now, log, tmp_path):
    """Guards against lines about a share that stays at 0."""
    report = overflow_report.OverflowReport(learned=learned, log=log)
    _run(learned, now, report, running=2, seconds=3.0)
    assert _lines(tmp_path) == []
    assert report.gauges() == {'zone_overflow_share{kind="s"}': 0.0}


def test_service_in_one_zone_has_no_metric(learned, log):
    """Guards against a metric for each service of a deployment with one zone."""
    learned.apply([conftest.make_entry("a", "127.0.0.2:1")], node_count=1)
    assert overflow_report.OverflowReport(learned=learned, log=log).gauges() == {}
