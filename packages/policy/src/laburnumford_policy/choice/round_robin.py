"""Baseline chooser: round robin."""

import collections.abc
import random

from laburnumford_policy.choice import _base, registry


@registry.choosers.register("round_robin")
class RoundRobinChooser(_base.BaseChooser):
    """Chooses the candidates in turn, from a random start so that nodes are not synchronised.

    Args:
        generator: random generator of the process.
    """

    def __init__(self, *, generator: random.Random) -> None:
        super().__init__(generator=generator)
        self._turn = generator.randrange(1 << 16)

    def choose(
        self,
        now: float,  # noqa: ARG002
        excluded: collections.abc.Set[str] = frozenset(),
    ) -> str | None:
        """Returns the name of a candidate outside `excluded`, or None if there is none."""
        candidates = self._candidates
        for _ in candidates:
            self._turn += 1
            name = candidates[self._turn % len(candidates)].name
            if name not in excluded:
                return name
        return None
