"""Runs a bench and prints its figures as JSON lines."""

import asyncio
import pathlib
import tempfile

import click

from laburnumford_testkit.bench import bench, path

_LOADED = (path,)  # importing a module registers its bench


async def _run(name: str, seed: int, folder: pathlib.Path, samples: int, repetitions: int) -> None:
    created = bench.benches.create(
        name, seed=seed, folder=folder, samples=samples, repetitions=repetitions
    )
    async for figure in created.run():
        click.echo(figure.encode())


@click.command()
@click.argument("name", type=click.Choice(bench.benches.names()))
@click.option("--seed", default=1, show_default=True)
@click.option("--samples", default=3000, show_default=True, help="Samples per figure.")
@click.option("--repetitions", default=5, show_default=True)
@click.option(
    "--folder",
    type=click.Path(path_type=pathlib.Path, exists=True, file_okay=False),
    default=None,
    help="Folder for logs; default a temporary one.",
)
def main(
    name: str, seed: int, samples: int, repetitions: int, folder: pathlib.Path | None
) -> None:
    """Measures NAME against real processes on loopback."""
    if folder is not None:
        asyncio.run(_run(name, seed, folder, samples, repetitions))
        return
    with tempfile.TemporaryDirectory(prefix="laburnumford-bench-") as temporary:
        asyncio.run(_run(name, seed, pathlib.Path(temporary), samples, repetitions))


if __name__ == "__main__":
    main()
