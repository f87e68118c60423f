"""Tests of the log lines and metrics of the memory for bodies."""

import json

from laburnumford_mesh import event_log, memory_watch
from laburnumford_mesh.http import buffer_budget


def test_refusals_are_counted_and_logged_once(tmp_path):
    """Guards against a log line for each refused body, and against refusals that nobody sees."""
    path = tmp_path / "log"
    budget = buffer_budget.BufferBudget(max_bytes=100)
    with path.open("wb") as output:
        log = event_log.EventLog(node="n", descriptor=output.fileno())
        watch = memory_watch.MemoryWatch(budget=budget, log=log)
        watch.sweep()
        budget.reserve(60)
        for _ in range(3):
            budget.reserve(60)
            watch.sweep()
    lines = [json.loads(line) for line in path.read_bytes().splitlines()]
    assert [line["event"] for line in lines] == ["memory_full"]
    assert (lines[0]["refused"], lines[0]["buffered_bytes"]) == (1, 60)
    assert watch.gauges() == {
        "buffered_bytes": 60,
        "buffered_bytes_limit": 100,
        "memory_refusals_total": 3,
    }
