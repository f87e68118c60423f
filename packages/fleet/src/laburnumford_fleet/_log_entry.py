"""Entry of the log of deltas."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """Published bytes of a delta, with the version and the digest that it leads to."""

    version: int
    value: bytes
    digest: bytes
