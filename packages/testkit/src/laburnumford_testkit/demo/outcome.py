"""What the demo found out about one deployment."""

import dataclasses

from laburnumford_testkit.caller import summary
from laburnumford_testkit.judge import finding


@dataclasses.dataclass(frozen=True, kw_only=True)
class KindOutcome:
    """Figures of one kind of calls."""

    kind: str
    service: str
    summary: summary.Summary
    duplicate_runs: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class MeasuringOutcome:
    """Cost of measuring the backend servers of a service, per server and second."""

    service: str
    calls_per_s: float
    bytes_per_s: float
    allowed_calls_per_s: float
    allowed_bytes_per_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """Figures and violations of one deployment."""

    title: str
    kinds: tuple[KindOutcome, ...]
    measuring: tuple[MeasuringOutcome, ...]
    findings: tuple[finding.Finding, ...]
    failures: tuple[str, ...]
    """What else must hold in a run without faults and does not."""

    @property
    def holds(self) -> bool:
        """Whether everything holds that must hold."""
        return not self.findings and not self.failures
