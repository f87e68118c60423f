"""Published versions and observed versions in force."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Publication:
    """A published version and the time of its publication, seconds of the monotonic clock."""

    version: int
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Observation:
    """The version in force at a node (0 for none) at a time, seconds of the monotonic clock."""

    node: str
    version: int
    at: float
