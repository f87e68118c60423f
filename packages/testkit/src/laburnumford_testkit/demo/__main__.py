"""Command line of the demo."""

import asyncio
import pathlib
import random
import sys
import tempfile

import click
from rich import console as console_module

from laburnumford_testkit.demo import demo

_EXAMPLES_FOLDER = pathlib.Path(__file__).parents[5] / "examples"


@click.command()
@click.option("--seed", default=None, type=int, help="Default: a random seed, which is printed.")
@click.option("--seconds", default=8.0, show_default=True, help="Length of each load in seconds.")
@click.option(
    "--examples",
    type=click.Path(path_type=pathlib.Path, exists=True, file_okay=False),
    default=_EXAMPLES_FOLDER,
    show_default=True,
    help="Folder of the deployment files.",
)
@click.option(
    "--folder",
    type=click.Path(path_type=pathlib.Path, exists=True, file_okay=False),
    default=None,
    help="Folder for logs; default a temporary one.",
)
def main(
    seed: int | None, seconds: float, examples: pathlib.Path, folder: pathlib.Path | None
) -> None:
    """Runs both example deployments under a mixed load; status 1 if an invariant is violated."""
    chosen_seed = random.SystemRandom().randrange(1, 1_000_000) if seed is None else seed
    # Output to a pipe has no width; the tables need about 140 columns.
    console = console_module.Console(width=None if sys.stdout.isatty() else 150)
    with tempfile.TemporaryDirectory(prefix="laburnumford-demo-") as temporary:
        has_passed = asyncio.run(
            demo.run(
                examples=examples,
                folder=folder or pathlib.Path(temporary),
                seed=chosen_seed,
                duration_s=seconds,
                console=console,
            )
        )
    sys.exit(0 if has_passed else 1)


if __name__ == "__main__":
    main()
