"""Registry of benches and their common options."""

import pathlib
from collections.abc import AsyncIterator
from typing import Protocol

from laburnumford_objects import registry
from laburnumford_testkit.bench import figure


class Bench(Protocol):
    """Interface of a bench; it is created with the keyword arguments of `Options`."""

    def run(self) -> AsyncIterator[figure.Figure]:
        """Yields the figures as they are measured."""


class Options:
    """Options that every bench takes.

    Args:
        seed: seed of the load and the processes.
        folder: existing folder for logs.
        samples: intended number of samples per figure.
        repetitions: number of repetitions over which the samples are spread.
        quick: whether to run shorter and fewer loads, to check that the bench works.
    """

    def __init__(
        self,
        *,
        seed: int,
        folder: pathlib.Path,
        samples: int,
        repetitions: int,
        quick: bool = False,
    ) -> None:
        self.seed = seed
        self.folder = folder
        self.samples = samples
        self.repetitions = repetitions
        self.quick = quick


benches: registry.Registry[Bench] = registry.Registry("bench")
