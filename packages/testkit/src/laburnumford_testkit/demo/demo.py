"""Runs all scenarios of the demo and prints their results."""

import pathlib

from rich import console as console_module

from laburnumford_testkit.demo import deployment_run, scenario, table

_MAX_SHOWN_VIOLATIONS = 10


async def run(
    *,
    examples: pathlib.Path,
    folder: pathlib.Path,
    seed: int,
    duration_s: float,
    console: console_module.Console,
) -> bool:
    """Runs the deployments one after another and prints a table for each.

    Args:
        examples: folder of the deployment files.
        folder: existing folder for logs.
        seed: seed of the loads and the processes.
        duration_s: length of each load in seconds.
        console: receives tables, progress and violations.

    Returns:
        Whether no deployment violates an invariant or fails another check.
    """
    has_passed = True
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
        violations = [str(finding) for finding in outcome.findings] + list(outcome.failures)
        for line in violations[:_MAX_SHOWN_VIOLATIONS]:
            console.print(f"FAILED {line}", markup=False, highlight=False, soft_wrap=True)
        if len(violations) > _MAX_SHOWN_VIOLATIONS:
            console.print(f"... and {len(violations) - _MAX_SHOWN_VIOLATIONS} more")
        if outcome.has_passed:
            console.print("all invariants hold")
        has_passed = has_passed and outcome.has_passed
    return has_passed
