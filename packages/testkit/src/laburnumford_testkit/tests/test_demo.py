"""Tests of the demo."""

import pathlib

import pytest
from click import testing

from laburnumford_objects import deployment
from laburnumford_testkit import caller, judge
from laburnumford_testkit.demo import __main__ as command
from laburnumford_testkit.demo import deployment_run, outcome, scenario, table

EXAMPLES_FOLDER = pathlib.Path(__file__).parents[5] / "examples"


def make_outcome(**fields):
    """Returns the outcome of a deployment without violations and failures."""
    summary = caller.summary.Summary(
        calls=10, answered=9, refused=1, unknown=0, p50_ms=1.5, p99_ms=2.5, p999_ms=3.5
    )
    values = {
        "title": "Some deployment",
        "kind_outcomes": (
            outcome.KindOutcome(kind="lookups", service="s", summary=summary, duplicate_runs=0),
        ),
        "measuring_outcomes": (
            outcome.MeasuringOutcome(
                service="s",
                calls_per_s=0.5,
                bytes_per_s=100.0,
                allowed_calls_per_s=5.0,
                allowed_bytes_per_s=3000.0,
            ),
        ),
        "findings": (),
        "failures": (),
        **fields,
    }
    return outcome.Outcome(**values)


FINDING = judge.finding.Finding(
    invariant=judge.invariant.Invariant.AT_MOST_ONCE, subject="key t", message="ran 2 times"
)


@pytest.mark.parametrize("one", scenario.SCENARIOS, ids=lambda one: one.file)
def test_scenarios_name_services_and_paths_of_the_examples(one):
    """Fails if an example changes so that the demo calls paths without a route."""
    objects = deployment.load(str(EXAMPLES_FOLDER / one.file))
    assert set(one.backend_arguments_by_service) == set(objects.services_by_name)
    prefixes = [route.path_prefix for route in objects.routes_by_name.values()]
    for call in one.calls:
        assert any(call.path.startswith(prefix) for prefix in prefixes), call.path


def test_table_has_a_row_per_kind_of_calls():
    """Fails if a figure of the demo is missing from its table."""
    rendered = table.render(make_outcome())
    cells = [list(column.cells) for column in rendered.columns]
    assert [column[0] for column in cells] == [
        *("lookups", "s", "10", "1.5", "2.5", "3.5", "1", "0", "0"),
        *("0.50 of 5", "100 of 3000"),
    ]


@pytest.mark.parametrize(
    ("bad", "status"),
    [({}, 0), ({"findings": (FINDING,)}, 1), ({"failures": ("lookups: 1 of 9",)}, 1)],
)
def test_exit_status_reports_violations_and_failures(monkeypatch, bad, status):
    """Fails if a violation in the first deployment ends with status 0."""
    outcomes = [make_outcome(**bad), make_outcome()]

    async def run(*_args, **_parameters):
        return outcomes.pop(0)

    monkeypatch.setattr(deployment_run, "run", run)
    result = testing.CliRunner().invoke(command.main, ["--seed", "4"])
    assert result.exit_code == status, result.output
    assert "SEED 4" in result.output
    assert ("FAILED" in result.output) == bool(status)
