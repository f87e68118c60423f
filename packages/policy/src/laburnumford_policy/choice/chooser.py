"""Interface of the choosers."""

import collections.abc
import typing

from laburnumford_policy.choice import candidate, explanation, load_report, result


class Chooser(typing.Protocol):
    """Chooses a backend server for each call of one service.

    Each `observe_sent` is followed by exactly one `observe_answer`, however the call ends. Names
    that are not candidates are ignored. `now` is monotonic time in seconds.
    """

    def apply(self, candidates: collections.abc.Iterable[candidate.Candidate], now: float) -> None:
        """Replaces the candidates and keeps what is known of those that remain."""

    def choose(self, now: float, excluded: collections.abc.Set[str] = frozenset()) -> str | None:
        """Returns the name of a candidate outside `excluded`, or None if there is none."""

    def observe_sent(self, name: str, now: float) -> None:
        """Records that a call was sent to the server `name`."""

    def observe_answer(
        self,
        name: str,
        now: float,
        latency_s: float,
        report: load_report.LoadReport | None,
        result: result.Result,
    ) -> None:
        """Records the end of a call that was sent `latency_s` seconds before `now`.

        Args:
            name: server to which the call was sent.
            now: monotonic time in seconds.
            latency_s: time in seconds since the call was sent.
            report: load report that came with the answer; None if there is none.
            result: how the call ended.
        """

    def explain(self, now: float) -> tuple[explanation.Explanation, ...]:
        """Returns the state of each candidate, sorted by name."""
