"""Runs the negative controls: `python -m laburnumford_testkit.controls [NAME...]`."""

import concurrent.futures
import multiprocessing
import sys

import click

from laburnumford_testkit import controls
from laburnumford_testkit.controls import run

_MAX_SHOWN = 3


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(controls.fault.faults.names()))
@click.option("--workers", default=3, show_default=True, help="Trials at the same time.")
def main(names: tuple[str, ...], workers: int) -> None:
    """Runs each fault and its load with intact nodes; status 1 if a control fails."""
    chosen = names or controls.fault.faults.names()
    passed = failed = 0
    # Each worker has its own loopback IP, so clusters of different workers share no address.
    with concurrent.futures.ProcessPoolExecutor(
        max_workers=workers, mp_context=multiprocessing.get_context("spawn")
    ) as pool:
        pending = [
            pool.submit(run.run_in_process, name, faulty)
            for name in chosen
            for faulty in (True, False)
        ]
        for done in pending:
            seen = done.result()
            passed, failed = passed + seen.holds, failed + (not seen.holds)
            click.echo(seen.line())
            for line in seen.findings[:_MAX_SHOWN]:
                click.echo(f"    {line}")
    click.echo(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
