"""Runs scenarios: `python -m laburnumford_testkit.scenario FILE...`."""

import concurrent.futures
import multiprocessing
import pathlib
import sys
import tempfile

import click

from laburnumford_testkit import errors
from laburnumford_testkit.scenario import known_red, play, reader

_FILE_PATTERN = "*.scenario"


@click.command()
@click.argument("paths", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path))
@click.option(
    "--workers", default=1, show_default=True, help="Number of scenarios at the same time."
)
@click.option("--known-red", "with_known_red", is_flag=True, help="Run the listed files too.")
@click.option(
    "--folder",
    type=click.Path(path_type=pathlib.Path),
    help="Folder for logs; kept after the run.",
)
def main(
    paths: tuple[pathlib.Path, ...],
    workers: int,
    with_known_red: bool,
    folder: pathlib.Path | None,
) -> None:
    """Runs the files, and all files *.scenario of folders; exits with status 1 if one fails."""
    files = _files(paths)
    passed = failed = 0
    runnable = []
    for file in files:
        listed = known_red.load(file.parent).get(file.name)
        if listed is not None and not with_known_red:
            click.echo(f"KNOWN-RED, not run: {listed}")
            continue
        try:
            reader.load(file)
        except errors.ScenarioError as error:
            click.echo(f"FAILED {error}")
            failed += 1
            continue
        runnable.append(file)
    with tempfile.TemporaryDirectory(prefix="laburnumford-scenario-") as temporary:
        logs = folder or pathlib.Path(temporary)
        # Each worker has its own loopback IP, so clusters of different workers share no address.
        with concurrent.futures.ProcessPoolExecutor(
            max_workers=workers, mp_context=multiprocessing.get_context("spawn")
        ) as pool:
            pending = [(file, pool.submit(play.run_file, file, logs)) for file in runnable]
            for file, done in pending:
                has_passed, lines = done.result()
                passed, failed = passed + has_passed, failed + (not has_passed)
                click.echo(f"{'passed' if has_passed else 'FAILED'} {file}")
                for line in lines:
                    click.echo(f"    {line}")
    click.echo(f"{passed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


def _files(paths: tuple[pathlib.Path, ...]) -> list[pathlib.Path]:
    files: list[pathlib.Path] = []
    for path in paths:
        files += sorted(path.glob(_FILE_PATTERN)) if path.is_dir() else [path]
    if not files:
        raise click.UsageError(f"no file {_FILE_PATTERN} in {', '.join(map(str, paths))}")
    return files


if __name__ == "__main__":
    main()
