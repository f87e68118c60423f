"""Runs one trial in a temporary folder."""

import asyncio
import pathlib
import tempfile
import time

from laburnumford_testkit import controls
from laburnumford_testkit.controls import outcome, trial


async def run_trial(name: str, *, faulty: bool) -> outcome.TrialOutcome:
    """Runs the load of a fault with faulty or intact nodes and checks the invariants."""
    fault = controls.fault.faults.create(name)
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix=f"laburnumford-{name}-") as folder:
        active_trial = trial.Trial(
            setup=fault.setup, folder=pathlib.Path(folder), fault=name if faulty else None
        )
        async with active_trial:
            await fault.apply_load(active_trial)
            findings = await active_trial.judge()
    return outcome.TrialOutcome(
        name=name,
        faulty=faulty,
        expected_invariant=fault.invariant.value,
        findings=tuple(str(found) for found in findings),
        found_invariants=frozenset(found.invariant.value for found in findings),
        event_count=active_trial.event_count,
        duration_s=time.monotonic() - began,
    )


def run_in_process(name: str, faulty: bool) -> outcome.TrialOutcome:
    """Runs one trial in an event loop of its own; an exception makes the trial fail."""
    try:
        return asyncio.run(run_trial(name, faulty=faulty))
    except Exception as error:  # An error of one trial must not end the other trials.
        return outcome.TrialOutcome(
            name=name,
            faulty=faulty,
            expected_invariant="",
            error=f"{type(error).__name__}: {error}",
        )
