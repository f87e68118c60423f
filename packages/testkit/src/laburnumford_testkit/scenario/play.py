"""Runs one scenario file; entry point of the worker processes."""

import asyncio
import pathlib

from laburnumford_testkit.scenario import reader, runner

_MAX_SHOWN_FAILURES = 10


def run_file(file: pathlib.Path, logs: pathlib.Path) -> tuple[bool, tuple[str, ...]]:
    """Runs a scenario file.

    Args:
        file: the scenario.
        logs: existing folder; the processes log to a folder below it.

    Returns:
        Whether the scenario passed, and the lines of its report.
    """
    try:
        script = reader.load(file)
        folder = logs / file.stem
        folder.mkdir(parents=True, exist_ok=True)
        outcome = asyncio.run(runner.run(script, folder))
    except Exception as error:  # An error in one scenario must not stop the others.
        return False, (f"could not be run: {error!r}",)
    lines = [f"{script.title}, seed {script.seed}, {outcome.duration_s:.1f} s", *outcome.figures]
    lines += [f"FAILED {failure}" for failure in outcome.failures[:_MAX_SHOWN_FAILURES]]
    if len(outcome.failures) > _MAX_SHOWN_FAILURES:
        lines.append(f"... and {len(outcome.failures) - _MAX_SHOWN_FAILURES} more")
    return outcome.has_passed, tuple(lines)
