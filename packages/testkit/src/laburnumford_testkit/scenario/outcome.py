"""Result of a scenario."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """Result of one scenario.

    Attributes:
        figures: counts and latencies of each kind of calls, with reasons of failed calls, as lines.
        failures: violated invariants and unmet expectations, one line each.
        duration_s: seconds from the start of the processes to their end.
    """

    figures: tuple[str, ...]
    failures: tuple[str, ...]
    duration_s: float

    @property
    def has_passed(self) -> bool:
        """Whether no invariant is violated and every expectation is met."""
        return not self.failures
