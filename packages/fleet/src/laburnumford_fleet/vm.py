"""VM on the platform's list."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """Describes a VM that the platform lists as live or leaving."""

    name: str
    zone: str
    leaving: bool
