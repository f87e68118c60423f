"""The judge."""

from laburnumford_testkit.judge import evidence as evidence_module
from laburnumford_testkit.judge import finding, rules


def judge(evidence: evidence_module.Evidence) -> tuple[finding.Finding, ...]:
    """Returns every violation that the rules find; a pure function of the evidence."""
    return tuple(
        found for name in rules.rules.names() for found in rules.rules.create(name).check(evidence)
    )
