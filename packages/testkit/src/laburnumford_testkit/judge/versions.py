"""Published versions and versions seen in force."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Publication:
    """A version that was published, at a time in seconds of the monotonic clock."""

    version: int
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Observation:
    """The version in force at a node, 0 for none."""

    node: str
    version: int
    at: float
