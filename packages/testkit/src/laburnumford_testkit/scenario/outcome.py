"""What a scenario has shown."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """Result of one scenario.

    Attributes:
        figures: one line per kind of calls.
        failures: what does not hold, one line each.
        seconds: length, with start and end of the processes.
    """

    figures: tuple[str, ...]
    failures: tuple[str, ...]
    seconds: float

    @property
    def holds(self) -> bool:
        """Whether everything holds that must hold."""
        return not self.failures
