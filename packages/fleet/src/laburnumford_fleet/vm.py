"""VM on the platform's list."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """VM that the platform reports as live or leaving."""

    name: str
    zone: str
    leaving: bool
