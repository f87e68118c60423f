"""Checks a configuration against all rules."""

from collections.abc import Iterable

from laburnumford_mesh.checks import (
    finding,
    registry,
    rules_limits,
    rules_replacement,
    rules_routes,
    rules_services,
    severity,
    subject,
)

RULE_MODULES = (rules_routes, rules_services, rules_limits, rules_replacement)
"""Modules whose import adds their rules."""


def check(checked: subject.Subject) -> tuple[finding.Finding, ...]:
    """Returns all findings, errors first."""
    return in_order(registry.RULES.run(checked))


def in_order(findings: Iterable[finding.Finding]) -> tuple[finding.Finding, ...]:
    """Returns findings with the errors first, otherwise in their order."""
    return tuple(sorted(findings, key=lambda each: each.severity is not severity.Severity.ERROR))
