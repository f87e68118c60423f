"""Tests of the command ``trace``."""

import json
import random

import pytest

from laburnumford_node import tracing


def _span_line(span_id, parent_id=None, *, trace="a" * 32, start_ms=0, end_ms=1, **attributes):
    return json.dumps(
        {
            "trace_id": trace,
            "span_id": span_id * 16,
            "parent_id": parent_id and parent_id * 16,
            "name": "edge",
            "node": "n1",
            "start_ns": start_ms * 1_000_000,
            "end_ns": end_ms * 1_000_000,
            "attributes": {f"laburnumford.{key}": value for key, value in attributes.items()},
        }
    )


@pytest.fixture
def write_file(tmp_path):
    """Returns a function that writes lines to a file and returns its path."""

    def write_lines(name: str, *lines: str | bytes) -> str:
        path = tmp_path / name
        path.write_bytes(
            b"\n".join(line.encode() if isinstance(line, str) else line for line in lines)
        )
        return str(path)

    return write_lines


def test_spans_written_by_nodes_are_shown_as_a_tree(run_main, tmp_path):
    """Guards against a span format that differs from the one that nodes write."""
    paths = [str(tmp_path / name) for name in ("one", "two")]
    one, two = (
        tracing.Tracer(node=path[-3:], path=path, sample_ratio=1.0, generator=random.Random(path))
        for path in paths
    )
    root = one.start("edge", None)
    root.set_attribute("laburnumford.service", "stock")
    root.set_attribute("laburnumford.result", "answered")
    hop = two.start("peer", root.traceparent())
    hop.end()
    root.end()
    one.close()
    two.close()
    status, output, error = run_main("trace", *reversed(paths))
    assert (status, error) == (0, "")
    trace, first, second = output.splitlines()
    assert trace.startswith(f"trace {root.trace_id:032x}  ")
    assert first.endswith("ms  edge one, service stock, answered")
    assert second.endswith("ms    peer two")


def test_invalid_lines_are_reported_and_skipped(run_main, write_file):
    """Guards against a truncated last line, or a file of another kind, hiding other spans."""
    path = write_file(
        "spans",
        _span_line("1"),
        _span_line("2")[:60],
        b"\xff\x00",
        "[" * 50_000,
        "x" * 200_000,
        _span_line("3").replace('"start_ns": 0', '"start_ns": true'),
        _span_line("4").replace('"edge"', "7"),
        "",
        _span_line("5", "1", result="refused", reason="deadline"),
    )
    status, output, error = run_main("trace", path)
    assert status == 0
    assert [line.split(": ")[0] for line in error.splitlines()] == [
        f"{path}:{number}" for number in (2, 3, 4, 5, 6, 7)
    ]
    assert output.splitlines()[-1].endswith("edge n1, refused, reason deadline")
    assert len(output.splitlines()) == 3


def test_missing_parents_and_cycles_show_every_span_once(run_main, write_file):
    """Guards against endless loops, and against omitting spans whose parent is lost."""
    path = write_file(
        "spans",
        _span_line("1", "2"),
        _span_line("2", "1"),
        _span_line("3", "3"),
        _span_line("4", "f"),
    )
    status, output, _ = run_main("trace", path, path)
    assert status == 0
    assert len(output.splitlines()) == 5
    assert "parent ffffffffffffffff is in no file" in output


def test_slowest_and_trace_id_select_traces(run_main, write_file):
    """Guards against options that select the wrong traces."""
    lines = [_span_line("1", trace=f"{index:032x}", end_ms=index) for index in (5, 9, 7)]
    path = write_file("spans", *lines)
    status, output, _ = run_main("trace", "--json", "--slowest", "2", path)
    assert [json.loads(line)["duration_ns"] for line in output.splitlines()] == [9e6, 7e6]
    assert status == 0
    assert run_main("trace", "--trace-id", f"{7:032x}", path)[1].count("trace ") == 1
    status, output, error = run_main("trace", "--trace-id", "f", path)
    assert (status, output) == (1, "")
    assert "found no span of trace 'f'" in error


def test_missing_file_gives_a_one_line_error(run_main):
    """Guards against a traceback."""
    assert run_main("trace", "/nowhere/spans") == (
        1,
        "",
        "/nowhere/spans: cannot read the file: No such file or directory\n",
    )
