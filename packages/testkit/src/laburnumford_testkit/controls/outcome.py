"""Outcome of one trial."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class TrialOutcome:
    """Findings of one trial and whether it passed.

    Attributes:
        name: name of the fault.
        faulty: whether the nodes had the fault.
        expected_invariant: id of the invariant that the fault violates.
        findings: findings of the judge, one line each.
        found_invariants: ids of the invariants in the findings.
        event_count: number of runs and measuring requests that the judge has checked.
        error: reason why the trial could not be run, or empty.
        duration_s: duration of the trial in seconds.
    """

    name: str
    faulty: bool
    expected_invariant: str
    findings: tuple[str, ...] = ()
    found_invariants: frozenset[str] = frozenset()
    event_count: int = 0
    error: str = ""
    duration_s: float = 0.0

    @property
    def has_passed(self) -> bool:
        """Whether faulty nodes show the expected violation, or intact nodes show none.

        A trial without events, or one that could not be run, has not passed.
        """
        if self.error or not self.event_count:
            return False
        return (
            self.expected_invariant in self.found_invariants if self.faulty else not self.findings
        )

    def summary_line(self) -> str:
        """Returns the outcome of the trial as one line of text."""
        nodes = "faulty" if self.faulty else "intact"
        wanted = f"expected {self.expected_invariant}" if self.faulty else "expected nothing"
        seen = self.error or f"found {', '.join(sorted(self.found_invariants)) or 'nothing'}"
        verdict = "passed" if self.has_passed else "FAILED"
        return f"{verdict} {self.name} ({nodes}): {wanted}, {seen} in {self.event_count} events, {self.duration_s:.1f} s"
