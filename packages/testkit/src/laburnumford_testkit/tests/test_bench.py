"""Tests of the bench registry and of the figures that benches print."""

import json

from click import testing

from laburnumford_testkit.bench import __main__ as command
from laburnumford_testkit.bench import bench, figure


def test_figure_is_one_json_line_without_absent_fields():
    """Fails if a figure cannot be read back, or carries empty fields."""
    made = figure.Figure(
        name="path.added_p50_ms",
        value=0.25,
        unit="ms",
        seed=1,
        samples=3000,
        baseline=0.3,
        labels=(("hops", 2),),
    )
    assert json.loads(made.encode()) == {
        "name": "path.added_p50_ms",
        "value": 0.25,
        "unit": "ms",
        "seed": 1,
        "samples": 3000,
        "baseline": 0.3,
        "hops": 2,
    }
    assert "\n" not in made.encode()


def test_registered_bench_runs_by_name(monkeypatch):
    """Fails if a bench that another module adds cannot be run."""

    class Fake(bench.Options):
        async def run(self):
            yield figure.Figure(
                name="fake.value",
                value=float(self.samples),
                unit="1",
                seed=self.seed,
                samples=self.samples,
            )

    monkeypatch.setitem(bench.benches._classes_by_name, "path", Fake)
    result = testing.CliRunner().invoke(command.main, ["path", "--seed", "7", "--samples", "9"])
    assert result.exit_code == 0, result.output
    assert json.loads(result.output) == {
        "name": "fake.value",
        "value": 9.0,
        "unit": "1",
        "seed": 7,
        "samples": 9,
    }


def test_unknown_bench_is_rejected():
    """Fails if a misspelt name of a bench ends with status 0."""
    assert testing.CliRunner().invoke(command.main, ["paht"]).exit_code != 0
