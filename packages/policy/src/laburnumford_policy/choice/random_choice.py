"""Baseline chooser: uniformly random choice."""

import collections.abc

from laburnumford_policy.choice import _base, registry


@registry.choosers.register("random")
class RandomChooser(_base.BaseChooser):
    """Chooses a candidate uniformly at random.

    Args:
        generator: random generator of the process.
    """

    def choose(
        self,
        now: float,  # noqa: ARG002
        excluded: collections.abc.Set[str] = frozenset(),
    ) -> str | None:
        """Returns the name of a candidate outside `excluded`, or None if there is none."""
        allowed = self._allowed(excluded)
        return self._generator.choice(allowed).name if allowed else None
