"""Baseline chooser: the hot/cold rule by calls in flight and latency published for Prequal."""

import collections
import collections.abc
import random

from laburnumford_policy.choice import (
    _base,
    _parameters,
    _pool_entry,
    candidate,
    load_report,
    registry,
    result,
)

_PARAMETER_RANGES: dict[str, _parameters.Range] = {
    "pool_size": (int, 2, 1024),
    "max_age_s": (float, 0.001, 60.0),
    "hot_quantile": (float, 0.0, 1.0),
    "uses": (int, 1, 1000),
}
_MAX_RECENT_LOADS = 128  # Reports from which the quantile of calls in flight is computed.


@registry.choosers.register("prequal")
class PrequalChooser(_base.BaseChooser):
    """Chooses from a pool of recent reports by the hot/cold rule.

    A report is hot if its calls in flight exceed a quantile of the recent ones. The cold report of
    the lowest latency is used, or the one with the fewest calls in flight if all are hot. The pool
    is filled from answers, because this system sends no probes between nodes.

    Args:
        generator: random generator of the process.
        pool_size: largest number of reports kept; 16 is the published default.
        max_age_s: age in seconds at which a report is dropped.
        hot_quantile: quantile of calls in flight above which a report is hot.
        uses: number of calls that may be sent because of one report.

    Raises:
        ChoiceParameterError: a parameter has a wrong type or lies outside its range.
    """

    def __init__(
        self,
        *,
        generator: random.Random,
        pool_size: int = 16,
        max_age_s: float = 1.0,
        hot_quantile: float = 0.84,
        uses: int = 2,
    ) -> None:
        super().__init__(generator=generator)
        _parameters.check(
            "prequal",
            _PARAMETER_RANGES,
            {
                "pool_size": pool_size,
                "max_age_s": max_age_s,
                "hot_quantile": hot_quantile,
                "uses": uses,
            },
        )
        self._pool_size = pool_size
        self._max_age_s = max_age_s
        self._hot_quantile = hot_quantile
        self._uses = uses
        self._pool: list[_pool_entry.PoolEntry] = []
        self._recent_loads: collections.deque[int] = collections.deque(maxlen=_MAX_RECENT_LOADS)
        self._remove_oldest = True

    def apply(self, candidates: collections.abc.Iterable[candidate.Candidate], now: float) -> None:
        """Replaces the candidates and drops the reports of those that were removed."""
        super().apply(candidates, now)
        self._pool = [each for each in self._pool if each.name in self._outstanding_by_name]

    def choose(self, now: float, excluded: collections.abc.Set[str] = frozenset()) -> str | None:
        """Returns the name of a candidate outside `excluded`, or None if there is none."""
        oldest = now - self._max_age_s
        self._pool = [each for each in self._pool if each.received_at > oldest and each.uses > 0]
        usable = [each for each in self._pool if each.name not in excluded]
        if len(usable) < 2:
            allowed = self._allowed(excluded)
            return self._generator.choice(allowed).name if allowed else None
        threshold = self._hot_threshold()
        cold = [each for each in usable if each.in_flight <= threshold]
        if cold:
            best = min(cold, key=lambda each: each.latency_s)
        else:
            best = min(usable, key=lambda each: each.in_flight)
        best.in_flight += 1
        best.uses -= 1
        self._remove_one()
        return best.name

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
        if report is None or name not in self._outstanding_by_name:
            return
        in_flight = report.running + report.queued
        queue_factor = max(1.0, in_flight / max(1, report.limit))
        self._recent_loads.append(in_flight)
        if len(self._pool) >= self._pool_size:
            self._pool.pop(0)
        self._pool.append(
            _pool_entry.PoolEntry(
                name=name,
                received_at=now,
                in_flight=in_flight,
                latency_s=report.service_time_us / 1e6 * queue_factor,
                uses=self._uses,
            )
        )

    def _hot_threshold(self) -> int:
        loads = sorted(self._recent_loads)
        return loads[min(len(loads) - 1, int(self._hot_quantile * len(loads)))]

    def _remove_one(self) -> None:
        """Removes alternately the oldest and the worst report of a full pool.

        Otherwise reports of high load, which are not used, would fill the pool.
        """
        if len(self._pool) < self._pool_size:
            return
        if self._remove_oldest:
            self._pool.pop(0)
        else:
            threshold = self._hot_threshold()
            worst = max(
                self._pool,
                key=lambda each: (
                    each.in_flight > threshold,
                    each.in_flight if each.in_flight > threshold else each.latency_s,
                ),
            )
            self._pool.remove(worst)
        self._remove_oldest = not self._remove_oldest
