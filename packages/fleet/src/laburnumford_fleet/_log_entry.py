"""Entry of the delta log."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """Holds the published bytes of a delta and the version and digest it leads to."""

    version: int
    value: bytes
    digest: bytes
