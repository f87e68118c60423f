"""Tests of the command ``decisions``."""

import json

import pytest

LOAD = {"load": [4, 2, 4], "slowness": 2.0, "slowness_age_s": 0.01}


def _line(time_s, event, request_id, **values):
    return json.dumps({"time": time_s, "node": "n", "event": event, "id": request_id, **values})


@pytest.fixture
def log_path(tmp_path):
    """Returns the path of a log with a refused and an answered request and other lines."""
    lines = [
        "started by hand",
        _line(10.1, "attempt", "a", server="s1", ms=3.0, refused="overloaded", **LOAD),
        _line(10.2, "attempt", "a", server="s2", ms=4.0, refused="overloaded", **LOAD),
        _line(10.2, "refused", "a", reason="no-room", service="x"),
        "  1.25 node-1 "
        + _line(11.5, "attempt", "b", server="s1", ms=90.0, status=200, work_ms=60.0, **LOAD),
        _line(11.5, "answered", "b", status=200, service="y"),
        '{"time":"?"}',
    ]
    path = tmp_path / "log"
    path.write_text("\n".join(lines))
    return str(path)


def test_decisions_are_counted_by_interval(run_main, log_path):
    """Guards against refusals that an engineer cannot see without reading each line."""
    status, output, error = run_main("decisions", log_path, "--json")
    first, second = (json.loads(line) for line in output.splitlines())
    assert status == 0
    assert first["start"] == 10.0
    assert first["finals"] == {"refused no-room": 1}
    assert first["attempts"] == {"overloaded": 2}
    assert first["refusals_by_server"] == {"s1": 1, "s2": 1}
    assert second["finals"] == {"answered 200": 1}
    assert second["wait_ms"] == [30.0, 30.0]
    assert second["waiting"] == [2.0, 2.0]
    assert f"{log_path}:7" in error


def test_table_shows_counts_and_quantiles(run_main, log_path):
    """Guards against a table without the reasons of refusals."""
    status, output, _ = run_main("decisions", log_path)
    assert status == 0
    assert "overloaded 2" in output
    assert "00:00:10.00" in output


def test_service_and_time_select_requests(run_main, log_path):
    """Guards against attempts of another service or time in the table."""
    _, output, _ = run_main("decisions", log_path, "--json", "--service", "y")
    assert [json.loads(line)["start"] for line in output.splitlines()] == [11.0]
    _, output, _ = run_main("decisions", log_path, "--json", "--until", "11")
    assert [json.loads(line)["start"] for line in output.splitlines()] == [10.0]


def test_log_without_decisions_is_an_error(run_main, tmp_path):
    """Guards against an empty table that looks like a quiet time."""
    path = tmp_path / "empty"
    path.write_text("nothing\n")
    status, _, error = run_main("decisions", str(path))
    assert status == 1
    assert "found no decision" in error
