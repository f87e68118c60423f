"""What one trial has shown."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class TrialOutcome:
    """Findings of one trial.

    Attributes:
        name: name of the fault.
        faulty: whether the nodes had the fault.
        expected: id of the invariant that the fault violates.
        findings: findings of the judge, one line each.
        found: ids of the invariants in the findings.
        events: runs and measuring requests that the judge has seen.
        error: why the trial could not be run, or empty.
        seconds: length of the trial.
    """

    name: str
    faulty: bool
    expected: str
    findings: tuple[str, ...] = ()
    found: frozenset[str] = frozenset()
    events: int = 0
    error: str = ""
    seconds: float = 0.0

    @property
    def holds(self) -> bool:
        """Whether the expected violation was found, or nothing with intact nodes.

        A trial in which nothing happened shows nothing.
        """
        if self.error or not self.events:
            return False
        return self.expected in self.found if self.faulty else not self.findings

    def line(self) -> str:
        """Returns the result on one line."""
        nodes = "faulty" if self.faulty else "intact"
        wanted = f"expected {self.expected}" if self.faulty else "expected nothing"
        seen = self.error or f"found {', '.join(sorted(self.found)) or 'nothing'}"
        verdict = "passed" if self.holds else "FAILED"
        return f"{verdict} {self.name} ({nodes}): {wanted}, {seen} in {self.events} events, {self.seconds:.1f} s"
