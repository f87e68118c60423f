"""Runs one trial."""

import asyncio
import pathlib
import tempfile
import time

from laburnumford_testkit import controls
from laburnumford_testkit.controls import outcome, trial


async def run_trial(name: str, *, faulty: bool) -> outcome.TrialOutcome:
    """Runs the load of a fault against faulty or intact nodes and judges it."""
    fault = controls.fault.faults.create(name)
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix=f"laburnumford-{name}-") as folder:
        running = trial.Trial(
            setup=fault.setup, folder=pathlib.Path(folder), fault=name if faulty else None
        )
        async with running:
            await fault.apply_load(running)
            findings = await running.judge()
    return outcome.TrialOutcome(
        name=name,
        faulty=faulty,
        expected=fault.invariant.value,
        findings=tuple(str(found) for found in findings),
        found=frozenset(found.invariant.value for found in findings),
        events=running.events,
        seconds=time.monotonic() - began,
    )


def run_in_process(name: str, faulty: bool) -> outcome.TrialOutcome:
    """Runs one trial in this process; a trial that cannot be run has failed."""
    try:
        return asyncio.run(run_trial(name, faulty=faulty))
    except Exception as error:  # Any error of one trial must leave the others running.
        return outcome.TrialOutcome(
            name=name, faulty=faulty, expected="", error=f"{type(error).__name__}: {error}"
        )
