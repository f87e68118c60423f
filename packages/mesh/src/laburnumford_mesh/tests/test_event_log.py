"""Tests of the structured log."""

import json

import pytest


@pytest.fixture
def read_lines(tmp_path):
    """Returns a function that returns the lines written by the fixture ``log``."""

    def read():
        return [json.loads(line) for line in (tmp_path / "log").read_text("utf-8").splitlines()]

    return read


@pytest.mark.parametrize("value", ["\ud800", 10**5000], ids=["surrogate", "5000 digits"])
def test_value_that_is_not_json_is_written_as_an_excerpt(log, read_lines, value):
    """Guards against a log line that raises an error in the code that it reports on."""
    log.write("found", value=value)
    (line,) = read_lines()
    assert line["event"].strip("'") == "found"
    assert len(line["value"]) < 200


def test_failure_has_the_end_of_its_traceback(log, read_lines):
    """Guards against an unexpected error whose place cannot be found in the log."""
    try:
        raise OverflowError("x" * 10_000)
    except OverflowError as error:
        log.write_failure("failed", error, key="k")
    (line,) = read_lines()
    assert line["key"] == "k"
    assert "OverflowError" in line["error"]
    assert len(json.dumps(line)) < 3000
