"""Registry of the rules that configurations are checked against."""

import dataclasses
from collections.abc import Callable, Iterable, Iterator

from laburnumford_mesh.checks import finding, severity, subject, violation

Find = Callable[[subject.Subject], Iterable[violation.Violation]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Rule:
    severity: severity.Severity
    needs_all_objects: bool
    find: Find


class Registry:
    """Maps codes to rules. A module of rules adds its own with the decorator `rule`.

    Example:
        >>> rules = Registry()
        >>> @rules.rule("no-routes", severity.Severity.WARNING)
        ... def find_no_routes(checked: subject.Subject) -> Iterator[violation.Violation]:
        ...     if not checked.candidate.routes:
        ...         yield violation.Violation("configuration", "routes", "none", "some")
    """

    def __init__(self) -> None:
        self._rule_by_code: dict[str, _Rule] = {}

    @property
    def codes(self) -> tuple[str, ...]:
        """Codes of all rules in the order of their registration."""
        return tuple(self._rule_by_code)

    def rule(
        self, code: str, level: severity.Severity, *, needs_all_objects: bool = False
    ) -> Callable[[Find], Find]:
        """Returns a decorator that adds a function as a rule.

        Args:
            code: identifier of the rule.
            level: severity of its findings.
            needs_all_objects: whether the rule is left out if some objects could not be read,
                because it would report others for what is missing.

        Raises:
            ValueError: the code is taken.
        """
        if code in self._rule_by_code:
            raise ValueError(f"code: found {code!r}; allowed: a code without a rule")

        def add(find: Find) -> Find:
            self._rule_by_code[code] = _Rule(
                severity=level, needs_all_objects=needs_all_objects, find=find
            )
            return find

        return add

    def run(self, checked: subject.Subject) -> Iterator[finding.Finding]:
        """Yields the findings of all rules."""
        for code, rule in self._rule_by_code.items():
            if rule.needs_all_objects and not checked.complete:
                continue
            for found in rule.find(checked):
                yield finding.Finding(
                    severity=rule.severity,
                    code=code,
                    object=found.object,
                    field=found.field,
                    found=found.found,
                    allowed=found.allowed,
                )


RULES = Registry()
"""Rules of the product; the modules ``rules_*`` add them when they are imported."""
