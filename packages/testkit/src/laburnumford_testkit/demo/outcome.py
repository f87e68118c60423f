"""Results of the demo for one deployment."""

import dataclasses

from laburnumford_testkit.caller import summary
from laburnumford_testkit.judge import finding


@dataclasses.dataclass(frozen=True, kw_only=True)
class KindOutcome:
    """Figures of one kind of calls.

    Attributes:
        kind: name of the kind.
        service: services that answered, joined with commas; `-` if none did.
        summary: counts and latencies of the calls.
        duplicate_runs: runs of requests with a ticket beyond the first run of the ticket.
    """

    kind: str
    service: str
    summary: summary.Summary
    duplicate_runs: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class MeasuringOutcome:
    """Cost of measuring the backend servers of a service, and its budget, per server and second."""

    service: str
    calls_per_s: float
    bytes_per_s: float
    allowed_calls_per_s: float
    allowed_bytes_per_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """Figures and violations of one deployment."""

    title: str
    kind_outcomes: tuple[KindOutcome, ...]
    measuring_outcomes: tuple[MeasuringOutcome, ...]
    findings: tuple[finding.Finding, ...]
    failures: tuple[str, ...]
    """Failed checks other than the invariants, for a run without faults."""

    @property
    def has_passed(self) -> bool:
        """Whether no invariant is violated and no other check failed."""
        return not self.findings and not self.failures
