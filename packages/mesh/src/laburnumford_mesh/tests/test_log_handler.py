"""Tests of the bridge from the standard logging module to the structured log."""

import asyncio
import json
import logging

import pytest

from laburnumford_mesh import log_handler


@pytest.fixture
def read_lines(log, tmp_path):
    """Installs a handler; returns a function that returns the lines it has written."""
    handler = log_handler.EventLogHandler(log)
    logging.getLogger().addHandler(handler)
    yield lambda: [json.loads(line) for line in (tmp_path / "log").read_text("utf-8").splitlines()]
    logging.getLogger().removeHandler(handler)


async def test_uncaught_error_of_the_event_loop_is_a_structured_line(read_lines):
    """Guards against uncaught errors that the structured log does not show."""

    def fail():
        raise OverflowError("too large")

    asyncio.get_running_loop().call_soon(fail)
    await asyncio.sleep(0.01)
    (line,) = read_lines()
    assert (line["event"], line["logger"], line["level"]) == ("logged", "asyncio", "error")
    assert "too large" in line["error"]
    assert "in fail" in line["traceback"]


def test_warning_has_no_traceback(read_lines):
    """Guards against a handler that expects an error in each record."""
    logging.getLogger("laburnumford.mesh").warning("link to %s", "1.1.1.1")
    (line,) = read_lines()
    assert line["message"] == "link to 1.1.1.1"
    assert "traceback" not in line
