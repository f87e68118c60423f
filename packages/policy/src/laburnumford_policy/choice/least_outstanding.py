"""Baseline chooser: fewest outstanding calls of this node."""

import collections.abc

from laburnumford_policy.choice import _base, registry


@registry.choosers.register("least_outstanding")
class LeastOutstandingChooser(_base.BaseChooser):
    """Chooses the candidate with the fewest outstanding calls, at random among equals.

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
        if not allowed:
            return None
        outstanding = self._outstanding_by_name
        fewest = min(outstanding[each.name] for each in allowed)
        equals = [each.name for each in allowed if outstanding[each.name] == fewest]
        return self._generator.choice(equals)
