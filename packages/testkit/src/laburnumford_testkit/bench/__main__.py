"""Runs a bench and prints its figures as JSON lines."""

import asyncio
import pathlib
import tempfile
from typing import Any

import click

from laburnumford_testkit.bench import bench, limit, path, policy, scale

_BENCH_MODULES = (limit, path, policy, scale)  # importing a module registers its bench


async def _run(name: str, **options: Any) -> None:
    selected = bench.benches.create(name, **options)
    async for figure in selected.run():
        click.echo(figure.encode())


@click.command()
@click.argument("name", type=click.Choice(bench.benches.names()))
@click.option("--seed", default=1, show_default=True)
@click.option("--samples", default=3000, show_default=True, help="Samples per figure.")
@click.option("--repetitions", default=5, show_default=True)
@click.option("--quick", is_flag=True, help="Shorter and fewer loads, under a minute.")
@click.option(
    "--folder",
    type=click.Path(path_type=pathlib.Path, exists=True, file_okay=False),
    default=None,
    help="Folder for logs; default a temporary one.",
)
def main(*, name: str, folder: pathlib.Path | None, **options: Any) -> None:
    """Runs the bench NAME and prints its figures; real processes listen on loopback."""
    if folder is not None:
        asyncio.run(_run(name, folder=folder, **options))
        return
    with tempfile.TemporaryDirectory(prefix="laburnumford-bench-") as temporary:
        asyncio.run(_run(name, folder=pathlib.Path(temporary), **options))


if __name__ == "__main__":
    main()
