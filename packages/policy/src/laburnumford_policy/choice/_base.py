"""Base class of the baseline choosers."""

import collections.abc
import random

from laburnumford_policy.choice import candidate, explanation, load_report, result


class BaseChooser:
    """Keeps the candidates and the number of outstanding calls to each of them.

    Args:
        generator: random generator of the process.
    """

    def __init__(self, *, generator: random.Random) -> None:
        self._generator = generator
        self._candidates: tuple[candidate.Candidate, ...] = ()
        self._outstanding_by_name: dict[str, int] = {}

    def apply(
        self,
        candidates: collections.abc.Iterable[candidate.Candidate],
        now: float,  # noqa: ARG002
    ) -> None:
        """Replaces the candidates and keeps the counts of those that remain."""
        by_name = {each.name: each for each in candidates}
        self._candidates = tuple(by_name[name] for name in sorted(by_name))
        known = self._outstanding_by_name
        self._outstanding_by_name = {name: known.get(name, 0) for name in sorted(by_name)}

    def observe_sent(self, name: str, now: float) -> None:  # noqa: ARG002
        """Counts a call that is sent to the server."""
        if name in self._outstanding_by_name:
            self._outstanding_by_name[name] += 1

    def observe_answer(
        self,
        name: str,
        now: float,  # noqa: ARG002
        latency_s: float,  # noqa: ARG002
        report: load_report.LoadReport | None,  # noqa: ARG002
        result: result.Result,  # noqa: ARG002
    ) -> None:
        """Records the end of a call that was sent `latency_s` seconds before `now`."""
        if self._outstanding_by_name.get(name, 0) > 0:
            self._outstanding_by_name[name] -= 1

    def explain(self, now: float) -> tuple[explanation.Explanation, ...]:  # noqa: ARG002
        """Returns the state of each candidate, sorted by name."""
        return tuple(
            explanation.Explanation(
                name=each.name,
                state="ok",
                estimate_s=None,
                outstanding=self._outstanding_by_name[each.name],
            )
            for each in self._candidates
        )

    def _allowed(self, excluded: collections.abc.Set[str]) -> tuple[candidate.Candidate, ...]:
        if not excluded:
            return self._candidates
        return tuple(each for each in self._candidates if each.name not in excluded)
