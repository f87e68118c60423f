"""Checks all rules against the evidence of a test run."""

from laburnumford_testkit.judge import evidence as evidence_module
from laburnumford_testkit.judge import finding, rules


def judge(evidence: evidence_module.Evidence) -> tuple[finding.Finding, ...]:
    """Returns all violations that the rules find; depends on nothing but the evidence."""
    return tuple(
        found for name in rules.rules.names() for found in rules.rules.create(name).check(evidence)
    )
