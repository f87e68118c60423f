"""Tests of the scenario language and its runner."""

import pathlib

import hypothesis
import pytest
from click import testing
from hypothesis import strategies

from laburnumford_testkit import caller, errors
from laburnumford_testkit.scenario import __main__ as command
from laburnumford_testkit.scenario import actions, expectation, known_red, measures, reader

_SCENARIO_FOLDER = pathlib.Path(__file__).parents[5] / "scenarios"
_SCENARIO_FILES = sorted(_SCENARIO_FOLDER.glob("*.scenario"))
_TINY = """\
scenario "tiny"
deployment cyclone
services routing
seed 3
call checks: GET /routing/trucks/7, timeout 800 ms, work 2 ms
load checks at 30 per second from 0 s to 1 s
at 200 ms server routing-1 slows 3 times until 600 ms
expect answered of checks at least 95 %
"""
_WORDS = [*_TINY.split(), "\n", '"', "partition", "until", "99999999 s", "zone", "%", "\x00"]


@pytest.mark.parametrize("path", _SCENARIO_FILES, ids=lambda path: path.stem)
def test_files_can_be_read(path):
    """Guards against a change of the language or of a deployment that makes a file invalid."""
    script = reader.load(path)
    assert all(event.action in actions.actions.names() for event in script.events)
    assert script.expectations


def test_known_red_entries_name_existing_files():
    """Guards against an entry without effect because its file no longer exists."""
    assert set(known_red.load(_SCENARIO_FOLDER)) <= {path.name for path in _SCENARIO_FILES}


@pytest.mark.parametrize(
    ("old", "new", "line", "expected"),
    [
        ("from 0 s", "form 0 s", 6, "found 'form'; expected from"),
        ("slows 3 times", "slows", 7, "expected a whole number"),
        ("deployment cyclone", "deployment hurricane", 2, "expected one of: cyclone, nordvarde"),
        ("routing-1", "routing-9", 7, "expected one of: curepipe"),
        ("load checks", "load stock", 6, "found kind of calls 'stock'; expected one of: checks"),
        ("800 ms", "800", 5, "expected a time such as 500 ms"),
        ("to 1 s", "to 90 s", 6, "expected at most 20 s"),
        ("at 30 per", "at 30000 per", 6, "expected 1 to 500 per second"),
        ("until 600 ms", "until 100 ms", 7, "expected a time after 200 ms"),
        ("slows 3 times until 600 ms", "pauses", 7, "expected until and a time"),
        ("load checks", "# load checks", 8, "found no line 'load'; expected one"),
    ],
)
def test_errors_name_the_line_and_the_expected_words(old, new, line, expected):
    """Guards against an error that does not say which line to change, and to what."""
    with pytest.raises(errors.ScenarioError) as caught:
        reader.read(_TINY.replace(old, new), "tiny.scenario")
    assert str(caught.value).startswith(f"tiny.scenario:{line}: ")
    assert expected in str(caught.value)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    strategies.one_of(
        strategies.text(max_size=200),
        strategies.lists(strategies.sampled_from(_WORDS), max_size=30).map(" ".join),
        strategies.tuples(
            strategies.integers(0, len(_TINY)), strategies.integers(0, 20), strategies.text()
        ).map(lambda cut: _TINY[: cut[0]] + cut[2] + _TINY[cut[0] + cut[1] :]),
    )
)
def test_malformed_text_is_an_error_with_a_line(text):
    """Guards against a crash, or an error without a line, for any text."""
    line = 1
    try:
        reader.read(text, "malformed.scenario")
    except errors.ScenarioError as error:
        line = error.line
    assert 1 <= line <= text.count("\n") + 2


def test_bounds_are_checked_within_their_time_window():
    """Guards against an expectation that passes for any measured value."""
    records = [
        caller.record.Record(
            call=f"c{at}",
            call_id=f"c{at}.0",
            kind="k",
            due=float(at),
            answered=at + 0.1,
            status=200,
        )
        for at in range(4)
    ] + [caller.record.Record(call="d", call_id="d.0", kind="k", due=2.5, outcome="refused")]

    def check(**fields):
        wanted = expectation.Expectation(text="expect", line=9, **fields)
        return measures.check(wanted, records, (), 0.0)

    assert check(measure="answered", kind="k", lowest=80.0) == ""
    assert "line 9: expect: found 80.00" in check(measure="answered", lowest=81.0)
    assert check(measure="refused", highest=0.0, end_s=2.0) == ""
    assert "at most 0" in check(measure="refused", highest=0.0, begin_s=2.0)
    assert check(measure="p99", kind="k", highest=110.0) == ""
    assert "at most 90" in check(measure="p99", kind="k", highest=90.0)
    assert "no call to measure" in check(measure="p99", kind="other", highest=90.0)
    assert check(measure="answered", kind="k", above_measure="refused", above_kind="k") == ""


@pytest.mark.parametrize("status", [0, 1])
def test_tiny_scenario_runs(tmp_path, status):
    """Guards against a runner that does not start, or passes a bound which does not hold."""
    path = tmp_path / "tiny.scenario"
    bound = "refused of checks at least 95 %" if status else "answered of checks at least 95 %"
    path.write_text(_TINY.replace("answered of checks at least 95 %", bound))
    result = testing.CliRunner().invoke(command.main, [str(path)])
    assert result.output.splitlines()[-1] == f"{1 - status} passed, {status} failed"
    assert result.exit_code == status
