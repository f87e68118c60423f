"""Runs one scenario file in a process of its own."""

import asyncio
import pathlib

from laburnumford_testkit.scenario import reader, runner

_MAX_FAILURES = 10


def play(file: pathlib.Path, logs: pathlib.Path) -> tuple[bool, tuple[str, ...]]:
    """Returns whether everything holds, and lines that tell what was seen.

    Args:
        file: the scenario.
        logs: existing folder; the processes log to a folder below it.
    """
    try:
        script = reader.load(file)
        folder = logs / file.stem
        folder.mkdir(parents=True, exist_ok=True)
        outcome = asyncio.run(runner.run(script, folder))
    except Exception as error:  # Any error of one scenario must leave the others running.
        return False, (f"could not be run: {error!r}",)
    lines = [f"{script.title}, seed {script.seed}, {outcome.seconds:.1f} s", *outcome.figures]
    lines += [f"FAILED {failure}" for failure in outcome.failures[:_MAX_FAILURES]]
    if len(outcome.failures) > _MAX_FAILURES:
        lines.append(f"... and {len(outcome.failures) - _MAX_FAILURES} more")
    return outcome.holds, tuple(lines)
