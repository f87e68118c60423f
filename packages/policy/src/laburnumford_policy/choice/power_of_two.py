"""Baseline chooser: power of two choices by unmodified load reports."""

import collections.abc
import random

from laburnumford_policy.choice import _base, candidate, load_report, registry, result


@registry.choosers.register("power_of_two")
class PowerOfTwoChooser(_base.BaseChooser):
    """Chooses the less loaded of two random candidates by their last reports, however old.

    Args:
        generator: random generator of the process.
    """

    def __init__(self, *, generator: random.Random) -> None:
        super().__init__(generator=generator)
        self._load_by_name: dict[str, int] = {}

    def apply(self, candidates: collections.abc.Iterable[candidate.Candidate], now: float) -> None:
        """Replaces the candidates and keeps the values of those that remain."""
        super().apply(candidates, now)
        known = self._load_by_name
        self._load_by_name = {each.name: known.get(each.name, 0) for each in self._candidates}

    def choose(
        self,
        now: float,  # noqa: ARG002
        excluded: collections.abc.Set[str] = frozenset(),
    ) -> str | None:
        """Returns the name of a candidate outside `excluded`, or None if there is none."""
        allowed = self._allowed(excluded)
        if not allowed:
            return None
        pair = self._generator.sample(allowed, min(2, len(allowed)))
        return min(pair, key=lambda each: self._load_by_name[each.name]).name

    def observe_answer(
        self,
        name: str,
        now: float,
        latency_s: float,
        report: load_report.LoadReport | None,
        result: result.Result,
    ) -> None:
        """Records the end of a call that was sent `latency_s` seconds before `now`."""
        super().observe_answer(name, now, latency_s, report, result)
        if report is not None and name in self._load_by_name:
            self._load_by_name[name] = report.running + report.queued
