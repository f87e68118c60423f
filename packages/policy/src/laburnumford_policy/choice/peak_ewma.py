"""Baseline chooser: peak EWMA of the latency."""

import collections.abc
import math
import random

from laburnumford_policy.choice import (
    _base,
    _parameters,
    candidate,
    explanation,
    load_report,
    registry,
    result,
)

_PARAMETER_RANGES: dict[str, _parameters.Range] = {"decay_s": (float, 0.001, 3600.0)}
# Cost of a server that has outstanding calls but no answer yet. It gets one call, and then is
# used only if the other candidate has no answer either.
_NO_LATENCY_COST = 1e6


@registry.choosers.register("peak_ewma")
class PeakEwmaChooser(_base.BaseChooser):
    """Chooses the server with the lower cost of two random candidates.

    The cost is the average latency times the number of outstanding calls plus one. The average
    rises to a higher latency at once and decays exponentially to lower ones.

    Args:
        generator: random generator of the process.
        decay_s: time constant of the decay, in seconds; 10 s is the published default.

    Raises:
        ChoiceParameterError: a parameter has a wrong type or lies outside its range.
    """

    def __init__(self, *, generator: random.Random, decay_s: float = 10.0) -> None:
        super().__init__(generator=generator)
        _parameters.check("peak_ewma", _PARAMETER_RANGES, {"decay_s": decay_s})
        self._decay_s = decay_s
        self._latency_by_name: dict[str, float] = {}
        self._observed_at_by_name: dict[str, float] = {}

    def apply(self, candidates: collections.abc.Iterable[candidate.Candidate], now: float) -> None:
        """Replaces the candidates and keeps the values of those that remain."""
        super().apply(candidates, now)
        names = {each.name for each in self._candidates}
        for by_name in (self._latency_by_name, self._observed_at_by_name):
            for name in by_name.keys() - names:
                del by_name[name]

    def choose(self, now: float, excluded: collections.abc.Set[str] = frozenset()) -> str | None:
        """Returns the name of a candidate outside `excluded`, or None if there is none."""
        allowed = self._allowed(excluded)
        if not allowed:
            return None
        pair = self._generator.sample(allowed, min(2, len(allowed)))
        return min(pair, key=lambda each: self._cost(each.name, now)).name

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
        if name not in self._outstanding_by_name:
            return
        known_latency_s = self._latency_by_name.get(name)
        if known_latency_s is None or latency_s > known_latency_s:
            self._latency_by_name[name] = latency_s
        else:
            weight = self._decay_factor(name, now)
            self._latency_by_name[name] = known_latency_s * weight + latency_s * (1.0 - weight)
        self._observed_at_by_name[name] = now

    def explain(self, now: float) -> tuple[explanation.Explanation, ...]:
        """Returns the state of each candidate, sorted by name."""
        return tuple(
            explanation.Explanation(
                name=each.name,
                state="ok",
                estimate_s=self._cost(each.name, now),
                outstanding=self._outstanding_by_name[each.name],
            )
            for each in self._candidates
        )

    def _decay_factor(self, name: str, now: float) -> float:
        return math.exp(min(0.0, self._observed_at_by_name[name] - now) / self._decay_s)

    def _cost(self, name: str, now: float) -> float:
        outstanding = self._outstanding_by_name[name]
        known_latency_s = self._latency_by_name.get(name)
        if known_latency_s is None:
            return _NO_LATENCY_COST + outstanding if outstanding else 0.0
        return known_latency_s * self._decay_factor(name, now) * (outstanding + 1)
