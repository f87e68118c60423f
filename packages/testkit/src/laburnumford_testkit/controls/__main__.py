"""Runs the negative controls: `python -m laburnumford_testkit.controls [NAME...]`."""

import concurrent.futures
import multiprocessing
import sys

import click

from laburnumford_testkit import controls
from laburnumford_testkit.controls import run

_MAX_SHOWN_FINDINGS = 3


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(controls.fault.faults.names()))
@click.option(
    "--workers", default=3, show_default=True, help="Number of trials that run at the same time."
)
def main(names: tuple[str, ...], workers: int) -> None:
    """Runs the load of each fault with faulty and with intact nodes; exits with 1 on a failure."""
    fault_names = names or controls.fault.faults.names()
    passed = failed = 0
    # Each worker has its own loopback IP, so clusters of different workers share no address.
    with concurrent.futures.ProcessPoolExecutor(
        max_workers=workers, mp_context=multiprocessing.get_context("spawn")
    ) as pool:
        pending = [
            pool.submit(run.run_in_process, name, faulty)
            for name in fault_names
            for faulty in (True, False)
        ]
        for done in pending:
            outcome = done.result()
            passed, failed = passed + outcome.has_passed, failed + (not outcome.has_passed)
            click.echo(outcome.summary_line())
            for line in outcome.findings[:_MAX_SHOWN_FINDINGS]:
                click.echo(f"    {line}")
    click.echo(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
