"""Runs all scenarios and prints what they show."""

import pathlib

from rich import console as console_module

from laburnumford_testkit.demo import deployment_run, scenario, table

_FINDINGS_SHOWN = 10


async def run(
    *,
    examples: pathlib.Path,
    folder: pathlib.Path,
    seed: int,
    duration_s: float,
    console: console_module.Console,
) -> bool:
    """Returns whether everything holds that must hold in both deployments."""
    holds = True
    console.print(f"SEED {seed}")
    for one in scenario.SCENARIOS:
        logs = folder / pathlib.Path(one.file).stem
        logs.mkdir(parents=True, exist_ok=True)
        outcome = await deployment_run.run(
            one,
            path=examples / one.file,
            folder=logs,
            seed=seed,
            duration_s=duration_s,
            progress=lambda line: console.print(line, highlight=False),
        )
        console.print(table.render(outcome))
        shown = [str(finding) for finding in outcome.findings] + list(outcome.failures)
        for line in shown[:_FINDINGS_SHOWN]:
            console.print(f"FAILED {line}", markup=False, highlight=False, soft_wrap=True)
        if len(shown) > _FINDINGS_SHOWN:
            console.print(f"... and {len(shown) - _FINDINGS_SHOWN} more")
        if outcome.holds:
            console.print("all invariants hold")
        holds = holds and outcome.holds
    return holds
